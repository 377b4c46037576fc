# Prints what binds in a day: for each window the worth lost, and its causes.
#
#   fleetbench run SITE DAY --log all | awk -f deploy/losses.awk
#
# Requests of a window that were late or failed are put into the first cause
# that fits, so that causes add up to what was lost:
#   dark      sent while their balancers were without power: the part of the
#             window before each balancer started again
#   return    the rest of a window with such a part, and the next one
#   overload  in a burst: refused, or answered late by full servers
#   servers   while servers crash, fall silent or are slow
#   other
# A late request counts as lost; its smaller worth is not known for each window.

function is_between (t, from, to) { return t >= from && t < to }

/"event":"start"/ && $1 > 0 { starts[$2, ++start_count[$2]] = $1; next }
/"event":/ { next }

/^from second/ { in_windows = 1; next }
in_windows && NF == 0 { in_windows = 0 }
in_windows { at[++windows] = $1; asked[$1] = $2; late[$1] = $4; failed[$1] = $5 + $6 }

/^what happened/ { in_spans = 1; next }
in_spans && / s to / {
  spans++
  from[spans] = $1
  to[spans] = $4
  kind[spans] = $6
  how[spans] = $7
}

# Share of the window from T without power, over all balancers.
function dark_share (t,    i, n, k, node, nodes, sum, dark)
{
  for (i = 1; i <= spans; i++) {
    if (kind[i] !~ /closing|herd_kill/)
      continue
    nodes = sum = 0
    for (node in start_count) {
      nodes++
      for (k = 1; k <= start_count[node]; k++) {
        if (starts[node, k] <= from[i] || starts[node, k] > from[i] + 5)
          continue
        dark = (starts[node, k] < t + width ? starts[node, k] : t + width) \
               - (from[i] > t ? from[i] : t)
        sum += dark > 0 ? dark : 0
        break
      }
    }
    if (nodes && sum > 0)
      return sum / nodes / width
  }
  return 0
}

function has_span (t, pattern,    i)
{
  for (i = 1; i <= spans; i++)
    if (kind[i] ~ pattern && from[i] < t + width && to[i] > t)
      return 1
  return 0
}

END {
  width = windows > 1 ? at[2] - at[1] : 2
  printf "%8s %7s %7s %7s   %s\n", "second", "asked", "late", "failed", "lost by cause"
  for (i = 1; i <= windows; i++) {
    t = at[i]
    lost = late[t] + failed[t]
    sum_asked += asked[t]
    sum_lost += lost
    dark = dark_share(t) * asked[t]
    dark = dark < lost ? dark : lost
    rest = lost - dark
    cause = dark > 0 || was_dark ? "return" : has_span(t, "burst") ? "overload" : \
            has_span(t, "srv_|replace|crash") ? "servers" : "other"
    was_dark = dark > 0
    sums["dark"] += dark
    sums[cause] += rest
    if (lost > asked[t] * 0.02)
      printf "%8s %7d %7d %7d   dark %d, %s %d\n", t, asked[t], late[t], failed[t], dark, cause, rest
  }
  printf "of %d requests %d were lost:", sum_asked, sum_lost
  n = split("dark return overload servers other", names, " ")
  for (i = 1; i <= n; i++)
    printf " %s %d%s", names[i], sums[names[i]] + 0.5, i < n ? "," : "\n"
}
