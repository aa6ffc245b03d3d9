"""HTTP/1.1 client and server on h11, with strict control of every byte.

The forwarding path has to prove that a request has not run, pass targets
and bodies on unchanged, and detect bytes that belong to no response.  A
client that re-quotes paths, retries requests by itself or pools connections
with unread bytes cannot do that.
"""
