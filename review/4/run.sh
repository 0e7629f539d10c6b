#!/bin/bash
# Six control hosts (two may be lost at once, so five vote), of which all settings files name the first three as seeds.
# The processes that lead are killed and started again until one leads that is no seed. Then two hosts lose their disks
# and are back 1 s later, empty; 9 s after that two others do. 18 s later the operator reads the configuration back.
# Exit code: 0 held, 1 broken, 2 could not run.
. "$(dirname "$0")/../common.sh"
SEEDS="$NET.1:$((PORT + 3)),$NET.2:$((PORT + 3)),$NET.3:$((PORT + 3))"
ALL="$SEEDS,$NET.4:$((PORT + 3)),$NET.5:$((PORT + 3)),$NET.6:$((PORT + 3))"
ZONES=(perth-a bunbury-a kalgoorlie-a perth-a bunbury-a kalgoorlie-a)
CONTROL=()
host() { settings control-$1 $NET.$1 ${ZONES[$(($1 - 1))]} control "$SEEDS" $2; sed -i 's/^losses: 1/losses: 2/' "$WORK/control-$1.yaml"; }
start() { daemon control-$1; CONTROL[$1]=$PID; }
# leader: the number of the host that returns the configuration.
leader() {
    $STANDIN read-back --registry "$ALL" --config "$WORK/config.json" --for-s 8 > "$WORK/read.txt"
    sed -n "s/.*operator: $NET\.\([0-9]*\):.* returns a configuration.*/\1/p" "$WORK/read.txt"
}
# wipe HOSTS: they lose their disks at once (TROUBLE=0: they are killed and keep them) and are back 1 s later.
wipe() {
    local i
    for i in "$@"; do
        kill -KILL "${CONTROL[$i]}"
        [ "$TROUBLE" = 0 ] || rm -rf "$WORK/control-$i.data"
    done
    [ "$TROUBLE" = 0 ] && note "hosts $* are killed" || note "hosts $* lose their disks"
    sleep 1
    for i in "$@"; do host $i false; start $i; done
}
for i in 1 2 3 4 5 6; do host $i true; done
for i in 1 2 3 4 5 6; do start $i; done
write_config
$STANDIN operator --registry "$ALL" --config "$WORK/config.json" --for-s 20 >> "$RECORD" || verdict 2 "no acknowledgement"
sleep 9
for try in 1 2 3 4 5; do
    leads=$(leader); note "host ${leads:-none} leads"
    [ -n "$leads" ] || verdict 2 "nobody leads before any disk is lost"
    [ "$leads" -gt 3 ] && break
    kill -KILL "${CONTROL[$leads]}"; sleep 1; host $leads false; start $leads; sleep 8
done
[ "$leads" -gt 3 ] || verdict 2 "only seeds were elected"
wipe 2 3
sleep 9
still=$(leader); note "host ${still:-none} leads"
[ "$still" = "$leads" ] || verdict 2 "another host leads now"
others=$(for i in 1 4 5 6; do [ $i != "$leads" ] && echo $i; done | head -2)
wipe $others
sleep 18
for i in 1 2 3 4 5 6; do kill -0 "${CONTROL[$i]}" 2>/dev/null || verdict 2 "control-$i does not run"; done
note "all six control hosts run; the operator reads back"
if $STANDIN read-back --registry "$ALL" --config "$WORK/config.json" --for-s 8 >> "$RECORD"; then
    verdict 0 "held: the acknowledged configuration came back"
fi
verdict 1 "broken: the acknowledged configuration does not come back"
