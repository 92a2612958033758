#!/bin/sh
# Installs the packages of a requirements file into a folder from which Python imports them, unless
# the folder has them for this Python on this kind of machine.
#
#   sh deploy/build-target.sh FOLDER REQUIREMENTS
set -e
folder=$1 requirements=$2
made="$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))') $(cat "$requirements")"
if [ "$(cat "$folder/.made" 2>/dev/null)" != "$made" ]; then
    rm -rf "$folder"
    python3 -m pip install -q --target "$folder" -r "$requirements"
    echo "$made" > "$folder/.made"  # last: an interrupted build is begun anew
fi
