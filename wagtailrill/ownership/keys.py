"""Hashing of keys to key slots and numbering of hot keys."""

import xxhash

from ..declaration.const import KEY_SLOT_COUNT


def key_hash(key: bytes) -> int:
    """Return the 64-bit hash of a key."""
    return xxhash.xxh3_64_intdigest(key)


def slot_of(hashed: int) -> int:
    """Return the key slot of a key hash."""
    return hashed % KEY_SLOT_COUNT


def hot_slot(hashed: int) -> int:
    """Return the number under which a hot key is granted; no key slot has it."""
    return KEY_SLOT_COUNT + hashed


def is_hot_slot(number: int) -> bool:
    """Return whether a number stands for a hot key."""
    return number >= KEY_SLOT_COUNT


def hash_of_hot_slot(number: int) -> int:
    """Return the key hash of a hot key's number."""
    return number - KEY_SLOT_COUNT


def rendezvous_rank(name: str, instance: str) -> int:
    """Return the rank of an instance for a resource; the highest has the duty."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{instance}".encode())
