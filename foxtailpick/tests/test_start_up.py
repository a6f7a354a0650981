"""Tests of the start of the gateway process."""

import subprocess
import sys

CHECK = """
import signal, sys
import foxtailpick.platform
found = []
def find_spec(name, *args):
    if name == 'foxtailpick.platform.run':
        found.append(signal.getsignal(signal.SIGHUP))
sys.meta_path.insert(0, type('Finder', (), {'find_spec': find_spec}))
import foxtailpick.platform.__main__
print(found == [signal.SIG_IGN])
"""


def test_reload_during_the_start_does_not_end_the_process():
    """A signal before the handlers were installed ended the process."""
    done = subprocess.run(
        [sys.executable, '-c', CHECK], capture_output=True, text=True
    )
    assert done.stdout.strip() == 'True', done.stderr
