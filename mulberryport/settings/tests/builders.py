"""Settings text for tests."""

__all__ = ["settings_text"]


def settings_text(**replaced_sections: str) -> str:
    """Return valid settings with some sections replaced or added.

    Parameters
    ----------
    **replaced_sections : str
        Text of a section by its name.
    """
    sections = {
        "vm": "id = vm1\nzone = rosario\ncaller-address = 127.0.0.1:8001\n"
        "operator-address = 127.0.0.1:8002\npeer-address = 127.0.0.1:8003",
        "platform": "\n".join(
            f"{name} = http://127.0.0.1:9000"
            for name in ("store", "orders", "usage", "vms", "weights")
        ),
        "credentials": "operator-token = 0123456789abcdef\n"
        "peer-token = fedcba9876543210",
        "peers": "seeds = vm2 parana 127.0.0.1:8103",
        **replaced_sections,
    }
    return "\n".join(f"[{name}]\n{body}" for name, body in sections.items())
