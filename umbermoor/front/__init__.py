"""The front: routes queries, and votes on staged releases by Test & Roll.

One Twisted process (`server`) around a decision module without I/O (`rules`, `policy`).
Start reading at `interface`, the types and calls between the two, and `facade`.
"""
