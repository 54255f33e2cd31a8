"""The one error that all readers of configuration raise."""


class ConfigError(Exception):
    """Configuration that cannot be used; the text names the key and is for a person."""
