"""The services declaration that operators write."""
