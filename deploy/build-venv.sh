#!/bin/sh
# Makes a virtual environment with the packages of requirements files, unless it has them for this
# Python on this kind of machine. PYTHON: the interpreter, python3 by default.
#
#   sh deploy/build-venv.sh FOLDER REQUIREMENTS...
set -e
python=${PYTHON:-python3} folder=$1
shift
made="$("$python" -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))') $(cat "$@")"
if [ "$(cat "$folder/.made" 2>/dev/null)" != "$made" ]; then
    echo "making $folder (once)" >&2
    rm -rf "$folder"
    "$python" -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
    "$python" -m venv "$folder"
    "$folder/bin/pip" -q install $(printf -- '-r %s ' "$@")
    echo "$made" > "$folder/.made"  # last: an interrupted build is begun anew
fi
