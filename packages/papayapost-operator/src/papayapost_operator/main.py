"""Entry point of ``papaya``."""

import fire

from papayapost_operator.commands import Papaya

__all__ = ["main"]


def main() -> None:
    """Run one command."""
    fire.Fire(Papaya, name="papaya")


if __name__ == "__main__":
    main()
