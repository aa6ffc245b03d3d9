"""Measures how state, time and memory grow with the size of a system.

Each measurement runs at several sizes and keeps its points in a JSON file
under ``docs/capacity``; :mod:`toucanrudder.bench.capacity.page` fits lines
to them and writes the tables of ``docs/CAPACITY.md``.
"""
