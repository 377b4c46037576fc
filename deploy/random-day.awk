# Prints a day of random troubles for the users' bench:
#   awk -v seed=48 -f deploy/random-day.awk >/tmp/48.toml; fleetbench run SITE /tmp/48.toml
# -v without="srv_flap,srv_lying_health" leaves out kinds that a site does not
# know.  {A:B} is drawn from a range, {A|B} from a list; an empty text leaves
# the field out.

function draw(from, to) { return from + rand() * (to - from) }

function fill(text,    start, stop, inner, parts, n, value)
{
  while ((start = index(text, "{")) > 0)
    {
      stop = index(text, "}")
      inner = substr(text, start + 1, stop - start - 1)
      if (inner ~ /^[0-9.]+:[0-9.]+$/)
        {
          split(inner, parts, ":")
          value = sprintf("%.2f", draw(parts[1], parts[2]))
        }
      else
        {
          n = split(inner, parts, "|")
          value = parts[1 + int(rand() * n)]
        }
      text = substr(text, 1, start - 1) value substr(text, stop + 1)
    }
  gsub(/, how = ""/, "", text)
  return text
}

function add(list, text,    words)
{
  split(text, words, " ")
  if (("," without ",") ~ ("," words[1] ","))
    return
  sub(/^[a-z_]+ ?/, "", text)
  counts[list]++
  kinds[list, counts[list]] = "kind = \"" words[1] "\"" (text ? ", " text : "")
}

function print_list(list, least, most,    n, i, j, at, lines, times)
{
  n = least + int(rand() * (most - least + 1))
  print list " = ["
  for (i = 1; i <= n; i++)
    {
      at = draw(0.2, 32)
      for (j = i; j > 1 && times[j - 1] > at; j--)
        {
          times[j] = times[j - 1]
          lines[j] = lines[j - 1]
        }
      times[j] = at
      lines[j] = sprintf("  { at = %.2f, %s },", at, fill(kinds[list, 1 + int(rand() * counts[list])]))
    }
  for (i = 1; i <= n; i++)
    print lines[i]
  print "]"
}

BEGIN {
  srand(seed)
  add("plan", "release share = {0.3:0.8}, x = {1.0|2.0|4.0}, gap_s = {0.3:1.2}")
  add("plan", "scale_in share = {0.1:0.3}, how = \"{||spot|reclaim}\"")
  add("plan", "roll_term share = {0.3:1.0}, gap_s = {0.3:1.4}, how = \"{|busy|leader|starter}\"")
  add("plan", "roll_term share = {0.1:0.4}, gap_s = {0.3:1.4}, how = \"remove\"")
  add("plan", "add_nodes share = 1.0")
  add("plan", "hup share = 0.6, gap_s = 1.0")
  add("plan", "config_change how = \"{route|weights|timeout|idle|skew}\"")
  add("plan", "config_storm for_s = {2:6}, gap_s = {0.1:0.5}")
  add("plan", "big_config count = {100|350|600}")
  add("plan", "scale_out")
  add("faults", "srv_slow share = {0.1:0.5}, x = {2:8}, for_s = 5.0, how = \"{|across}\"")
  add("faults", "replace_with_reuse share = {0.1:0.3}, how = \"{|drain|dark}\"")
  add("faults", "node_kill count = {1|2|3}, for_s = {1:4}, how = \"{|turn|leader|reader|giver|seed|meet|race|hard|leader race|reader hard|meet drain|leader race drain|power|power leader|power reader}\"")
  add("faults", "node_slow share = {0.1:0.6}, x = {3:8}, for_s = 5.0")
  add("faults", "herd_kill share = {0.3:1.0}, for_s = {1:3}, how = \"{|power}\"")
  add("faults", "after_ack_kill for_s = 3.0, count = {1|3}, how = \"{|kill|timed}\"")
  add("faults", "clock_step share = {0.2:1.0}, x = {1000:9000}, for_s = {2:8}, how = \"{|back|ahead}\"")
  add("faults", "zone_cut for_s = {2:8}, how = \"{|drop|refuse|reset|drop meet}\"")
  add("faults", "core_cut count = {1|2|3}, for_s = {2:8}, how = \"{|split|all|near|one_way|seeds|both|lure|relieve|leader race|reader|behind|reader hard|seed}\"")
  add("faults", "node_cut share = {0.1:0.5}, for_s = {2:6}, how = \"{|all|servers|servers reborn|leader|reader|reset|refuse}\"")
  add("faults", "lossy x = {0.01:0.1}, for_s = 5.0")
  add("faults", "platform_down for_s = {2:9}, share = 0.4, how = \"{|silent|busy|reset|lapse|silent lapse|nodes many|nodes busy revoke|nodes reset|nodes leader|nodes silent meet}\"")
  add("faults", "platform_slow x = {20:200}, for_s = {2:8}")
  add("faults", "platform_lost x = {0.2:0.7}, for_s = 5.0, how = \"{|late}\"")
  add("faults", "platform_compact x = {2:8}, for_s = {3:12}, how = \"{|drain}\"")
  add("faults", "node_freeze share = {0.1:0.6}, for_s = {0.5:7}, how = \"{|renewed|leader|reader}\"")
  add("faults", "reset_conns share = {0.3:1.0}, x = {0.4:1.0}")
  add("faults", "srv_crash share = {0.1:0.3}, for_s = {2:8}")
  add("faults", "srv_grey share = {0.1:0.4}, for_s = 6.0")
  add("faults", "srv_lying_health share = {0.1:0.4}, for_s = 6.0")
  add("faults", "srv_flap share = {0.1:0.4}, for_s = 6.0")
  add("faults", "burst x = {1.5:3.5}, for_s = {2:6}")
  printf "name = \"random-%d\"\nslot = \"trouble\"\nlength_s = 40.0\n", seed
  if (rand() < 0.5)
    print "closing = { " fill("kind = \"{power_off_all|kill_all|wipe_after_ack}\", down_s = {1:3}") " }"
  print_list("plan", 4, 9)
  print_list("faults", 5, 12)
}
