"""Requests that crash the engines which run them."""
