"""HTTP/1.1 whose every byte is accounted for, on h11.

The forwarding path has to prove that a request has not run, pass targets
and bodies on unchanged, and notice bytes that belong to no answer.  A
client that re-quotes paths, repeats requests by itself or pools
connections with bytes left on them cannot do that.
"""
