#!/usr/bin/env bash
# Plays the days of a deployment with one mechanism of the data plane switched off.
#
#   deploy/ablation.sh BENCH SITE SWITCH FOLDER [SEED...]
#
# BENCH is the users' bench, SITE a site file of theirs, SWITCH a key of the `[policy]` table
# (docs/SETTINGS.md) or `none`. Each day's report goes into FOLDER, and so does the journal of the
# copy of the sources in which the switch is off.
set -euo pipefail

bench=$1 site=$2 switch=$3 folder=$4
shift 4
sources=$(cd "$(dirname "$0")/.." && pwd)
days=$(sed -n '/^\[\[day\]\]/,/^seed/s/^name = "\(.*\)"/\1/p' "$site")

copy=$folder/$switch
mkdir -p "$copy/journal" "$copy/target"
cp -a "$sources"/{Cargo.toml,Cargo.lock,crates,platform,deploy} "$copy/"
# Built files are shared, so that the copy builds nothing that is there already.
cp -al "$sources/target/release" "$copy/target/"
if [[ $switch != none ]]; then
  printf '\n[policy]\n%s = false\n' "$switch" >>"$copy/platform/settings.toml"
fi

cd "$copy"
"$bench" build
for seed in "${@:-standard}"; do
  chosen=()
  if [[ $seed != standard ]]; then
    chosen=(--seed "$seed")
  fi
  for day in $days; do
    "$bench" run "$site" "$day" "${chosen[@]}" --report "$folder/$switch.$day.$seed.json" \
      --why "Ablation: $switch off" >"$folder/$switch.$day.$seed.txt" 2>&1
  done
done
