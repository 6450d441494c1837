# Sourced by the scripts under bin: starts a main class from the built jars.

ROOT_DIR=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
JAR_DIR="$ROOT_DIR/magnoliapick-dist/target/lib"

# Small processes: little heap, one collector thread, quick start.
SMALL_JAVA_OPTIONS=(-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k
    "-Dlogback.configurationFile=$ROOT_DIR/bin/lib/logback.xml")

BUILD_STAMP="$ROOT_DIR/magnoliapick-dist/target/built"

build() {
    echo "Building." >&2
    (cd "$ROOT_DIR" && mvn -B -q -DskipTests package) >&2
    touch "$BUILD_STAMP"
}

# Builds the jars unless they are there.
build_if_needed() {
    if [ ! -d "$JAR_DIR" ]; then
        build
    fi
}

# Builds the jars unless they are there and no source is newer.
build_if_stale() {
    if [ ! -d "$JAR_DIR" ] || [ ! -f "$BUILD_STAMP" ] || [ -n "$(newer_sources)" ]; then
        build
    fi
}

newer_sources() {
    find "$ROOT_DIR"/pom.xml "$ROOT_DIR"/magnoliapick-*/pom.xml "$ROOT_DIR"/magnoliapick-*/src/main \
        -type f -newer "$BUILD_STAMP" -print -quit
}

# run_main CLASS [JVM OPTION...] -- [ARGUMENT...]: replaces the shell by the Java process.
run_main() {
    local class=$1
    shift
    local java_options=()
    while [ "$#" -gt 0 ] && [ "$1" != "--" ]; do
        java_options+=("$1")
        shift
    done
    shift
    build_if_needed
    # MAGNOLIAPICK_JAVA_OPTIONS is split on purpose: it holds several options.
    # shellcheck disable=SC2086
    exec java "${java_options[@]}" ${MAGNOLIAPICK_JAVA_OPTIONS:-} \
        -cp "$JAR_DIR/*" "$class" "$@"
}
