"""The operators' document: changes, validation, storage and adoption."""
