# Reads the lines of bench/slopes and prints the tables of docs/CAPACITY.md.
# All values in BEGIN are assumptions of the model or stated sizes.

BEGIN {
  nodes = 11000; servers = 54000; addresses = 8900; dcs = 21
  flows = 340e6; changes = 18000; replaced = 22000; reads = 2000
  day = 86400; budget = 10000; core_us = 21000; memory = 256e6
  home = 8; fanout = 8; roots = 3
  frame = 54       # IP, TCP with timestamps and ZMTP headers of a message
  ack = 52         # IP and TCP headers of its acknowledgement
  probe = 700      # bytes of an HTTP probe on a new connection, both ways
  probe_us = 150   # processor time of a probe, microseconds
  receive_us = 20  # processor time of reading and decoding a message, microseconds
  patch = 300      # bytes of a merge patch that changes one server
  address = 13     # bytes of an address, port, protocol and group
  member = 10      # bytes of a VM as id and address
  ack_timeout = 1.5  # seconds, BB_ACKNOWLEDGE_TIMEOUT
  heartbeat = 0.5  # seconds between heartbeats
  per_dc = nodes / dcs; dc_servers = servers / dcs; dc_addresses = addresses / dcs
  groups = per_dc / home; own = dc_servers / groups; own_addresses = dc_addresses / groups
  vms = nodes + servers; away = replaced / vms  # share of the VMs replaced in a day
}

function print_row(a, b, c, d) { printf "| %s | %s | %s | %s |\n", a, b, c, d }
function print_head(a, b, c, d) { print_row(a, b, c, d); print "|---|---|---|---|" }
function human(x) {
  if (x >= 1e6) return sprintf("%.2f M", x / 1e6)
  if (x >= 1e4) return sprintf("%.1f k", x / 1e3)
  return x >= 100 ? sprintf("%.0f", x) : sprintf("%.3g", x)
}

$1 == "slope" {
  slope[$2] = $3; base[$2] = $6
  points = $8
  for (i = 9; i <= NF; i++) points = points ", " $i
  measured = measured sprintf("| %s | %s %s | %s | %s |\n", $2, $3, $4, $6, points)
}

# Bytes per second at one end of COUNT links with RATE messages per second of
# SIZE bytes each way, including headers and acknowledgements.
function links(count, rate, size) { return 2 * count * rate * (size + frame + ack) }
function datagrams(count, rate, size) { return 2 * count * rate * (size + 28) }

function print_role(name, peers, group_servers, tree, watch, entries, hb) {
  hb = base["heartbeat"] + slope["heartbeat"] * group_servers / 4
  bytes = links(peers, 2, hb) + links(tree, 1, base["heartbeat"])
  udp = datagrams(peers, 2, hb) + datagrams(tree, 1, base["heartbeat"])
  rest = probe * group_servers / home
  rest += (2 + fanout) * changes / day / (watch ? 1 : dcs) * (patch + frame + ack)
  us = base["tick_peers"] + slope["tick_peers"] * (peers + tree)
  us += slope["tick_servers"] * group_servers + slope["tick_entries"] * entries / 1000
  us += receive_us * (2 * peers + tree) + probe_us * group_servers / home
  us += (slope["parse"] + slope["version"]) * group_servers * changes / day / dcs / groups
  mem = base["memory"] + slope["memory"] * group_servers + slope["entry_memory"] * entries
  mem += dc_addresses * 16 + per_dc * 64
  printf "| %s | %s | %.1f KB/s | %.1f KB/s | %.2f %% | %.1f MB |\n", name, \
    sprintf("%d peers, %d tree links, %.0f servers, %s entries", peers, tree, group_servers, human(entries)), \
    (bytes + rest) / 1000, (udp + rest) / 1000, us / 1e4, mem / 1e6
}

END {
  print "\n### Measured slopes\n"
  print_head("quantity", "slope", "intercept", "points")
  printf "%s", measured

  print "\n### Sums\n"
  print_head("sum", "today's code", "with the mechanism", "limit")
  print_row("waiting watches", human(3 * nodes) " (3 documents a node)", roots * dcs " (index of 3 nodes a data centre)", human(reads))
  print_row("reads/s of changes", human(nodes * changes / day), human(2 * roots * dcs * changes / day), human(reads))
  hb = base["heartbeat"]
  print_row("heartbeats in a full mesh, KB/s sent", human((per_dc - 1) * 2 * hb / 1000) ", " human(links(per_dc - 1, 2, hb) / 1000) " both ways with headers", \
      human(links(home - 1, 2, hb + slope["heartbeat"] * own / 4) / 1000) " in a home group", human(budget / 1000))
  print_row("largest mesh within the budget, peers", int(budget / links(1, 2, hb)), "", home - 1 " needed")
  doc = slope["document"]
  print_row("one document of all servers, MB", human(doc * servers / 1e6), human(doc * own / 1e6) " for a home group", 1)
  print_row("servers in a 1 MB document", int(1048576 / doc), "", human(servers))
  print_row("whole configuration to a joining VM, s", human(doc * servers / budget), human((doc * own + address * dc_addresses + member * per_dc) / budget), 2)
  print_row("processor time of every change, % of a core", human(changes / day * servers * (slope["parse"] + slope["version"]) / 1e4), \
      human(changes / day / dcs / groups * own * (slope["parse"] + slope["version"]) / 1e4), 2.1)
  print_row("memory for all servers, MB", human((base["memory"] + slope["memory"] * servers) / 1e6), human((base["memory"] + slope["memory"] * own) / 1e6), 256)
  print_row("probes/s of a node, KB/s", human(servers) " probes, " human(servers * probe / 1000), human(own / home) " probes, " human(own / home * probe / 1000), human(budget / 1000))

  tracked = 2 * away; if (tracked > 1) tracked = 1
  entries = flows * tracked * 3 / nodes
  replicated = entries * slope["entries"]
  levels = 0; reach = roots; while (reach < per_dc) { reach *= fanout; levels++ }
  hop = fanout * (patch + frame + ack) / budget
  print "\n### Derived quantities\n"
  print "| quantity | value |\n|---|---|"
  printf "| nodes, servers, addresses per data centre | %.0f, %.0f, %.0f |\n", per_dc, dc_servers, dc_addresses
  printf "| home groups per data centre; servers, addresses per group | %.1f; %.1f, %.1f |\n", groups, own, own_addresses
  printf "| share of all VMs replaced in a day | %.0f %% |\n", 100 * away
  printf "| share of buckets tracked, each replacement affecting two shares for a day | %.0f %% |\n", 100 * tracked
  printf "| entries per node, three replicas | %s |\n", human(entries)
  printf "| VMs of a data centre replaced | one per %.0f s |\n", day * vms / replaced * dcs / vms
  printf "| nodes of one home group replaced | one per %.1f h |\n", 24 / (home * away)
  printf "| replication of the entries to a new node at %d KB/s | %.0f s |\n", budget / 1000, replicated / budget
  printf "| levels below the %d roots of the tree of a data centre | %d |\n", roots, levels
  printf "| change in force: watch and read 0.1 s, %d levels of %.2f s, heartbeat %.1f s, acknowledgement timeout %.1f s | %.2f s |\n", \
    levels, hop, heartbeat, ack_timeout, 0.1 + levels * hop + heartbeat + ack_timeout
  printf "| largest patch in force within 4 s | %.0f bytes |\n", (4 - 0.1 - heartbeat - ack_timeout) / levels * budget / fanout - frame - ack

  print "\n### Roles\n"
  print "| role | state | control bytes, both ways, over TCP | heartbeats over UDP | processor | memory of the engine |\n|---|---|---|---|---|---|"
  print_role("ingress only", 0, 0, 2, 0, 0)
  print_role("home/owner, one group", home - 1, own, 2, 0, entries)
  print_role("home/owner, two groups", 2 * (home - 1), 2 * own, 2, 0, 2 * entries)
  print_role("home/owner, inside the tree", home - 1, own, 1 + fanout, 0, entries)
  print_role("platform watcher, inside the tree and home", home - 1, own, roots - 1 + fanout, 1, entries)
  printf "| operator's tool | %s servers, %s documents | on demand | | %.1f s for a check of all | %.0f MB of documents |\n", \
    human(servers), human(dcs * groups), servers * slope["parse"] / 1e6, doc * servers / 1e6
  print ""
}
