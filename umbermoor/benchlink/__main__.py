import sys

from umbermoor.benchlink.wire import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
