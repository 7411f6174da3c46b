#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays the same without the evacuation.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/harness2 ] && [ -x ../../target/chervil-entry ] && [ -x ../../target/chervil-agent ] || exit 2
exec ../../target/review-2/harness2 evacuation "$(cd ../.. && pwd)" "$(pwd)"
