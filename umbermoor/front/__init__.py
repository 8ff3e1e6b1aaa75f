"""The front in service: routes queries, and votes on staged releases by Test & Roll.

One process on Twisted (`server`) around a decision module without I/O (`rules`, `policy`).
Readers begin with `interface`, the types and calls between the two, and `facade`.
"""
