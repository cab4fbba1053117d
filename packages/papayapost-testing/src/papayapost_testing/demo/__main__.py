"""Runs the demo; the exit code is 1 if any promise broke."""

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

from papayapost_testing.demo.director import Director
from papayapost_testing.demo.plans import DEPLOYMENTS, Deployment
from papayapost_testing.demo.script import Script
from papayapost_testing.demo.scripts import SCRIPTS

__all__ = ["run"]


def run(*names: str, keep: str = "", script: str = "minute") -> None:
    """Run the deployments one after the other.

    Parameters
    ----------
    names
        Deployments to run; none for all.
    keep
        Folder for settings files and logs; by default they are removed.
    script
        Name of the script to carry out.
    """
    chosen = SCRIPTS.get(script)
    if chosen is None:
        sys.exit(f"unknown script {script!r}; use one of {', '.join(SCRIPTS)}")
    broken = []
    for deployment in DEPLOYMENTS:
        if names and deployment.name not in names:
            continue
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(keep or temporary) / deployment.name
            folder.mkdir(parents=True, exist_ok=True)
            results = asyncio.run(_run(deployment, chosen, folder))
        print(results.summary(), flush=True)
        broken += [f"{results.name}: {text}" for text in results.broken_promises()]
    print("\nPromises broken:" if broken else "\nAll promises held.")
    for text in broken:
        print(f"  {text}")
    sys.exit(1 if broken else 0)


async def _run(deployment: Deployment, script: Script, folder: Path):
    return await Director(deployment, script, folder).run()


if __name__ == "__main__":
    fire.Fire(run, name="demo")
