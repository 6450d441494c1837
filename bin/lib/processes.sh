# Sourced by the scripts that start several processes: they end exactly those that they started.
# The script sets LOG_DIR.

readonly HOST=127.0.0.1
readonly START_TIMEOUT_S=60

PIDS=()

say() {
    echo "[$(basename "$0")] $*"
}

# Ends exactly the processes that this script started.
clean_up() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
}
trap clean_up EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND...: runs a command in the background; its output goes to a file.
start() {
    local name=$1
    shift
    "$@" >"$LOG_DIR/$name.log" 2>&1 &
    PIDS+=("$!")
}

# wait_for WHAT COMMAND...: repeats a command until it succeeds.
wait_for() {
    local what=$1
    shift
    local end=$((SECONDS + START_TIMEOUT_S))
    until "$@"; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "$(basename "$0"): gave up waiting for $what; see $LOG_DIR" >&2
            exit 1
        fi
        sleep 0.2
    done
}

answers() {
    curl -fsS -m 2 -o /dev/null "$1" 2>/dev/null
}
