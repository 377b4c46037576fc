#include "bbctl/report.h"
#include <inttypes.h>
#include <stdio.h>

/* In pixels, except TICKS.  */
enum
{
  WIDTH = 1200,
  LEFT = 70,
  RIGHT = 20,
  TOP = 30,
  HEIGHT = 300,
  BOTTOM = 40,
  TICKS = 8
};

static const struct
{
  const char *name, *colour;
  size_t offset;
} series[] = {
  { "placed", "#2471a3", offsetof (struct bb_ctl_interval, placed) },
  { "refused", "#d68910", offsetof (struct bb_ctl_interval, refused) },
  { "reset", "#c0392b", offsetof (struct bb_ctl_interval, reset) },
};

static uint64_t
series_value (const struct bb_ctl_report *r, guint interval, size_t s)
{
  const char *at = (const char *)&g_array_index (
      r->intervals, struct bb_ctl_interval, interval);
  return *(const uint64_t *)(const void *)(at + series[s].offset);
}

static uint64_t
largest_sum (const struct bb_ctl_report *r)
{
  uint64_t most = 1;
  for (guint i = 0; i < r->intervals->len; i++)
    {
      uint64_t sum = 0;
      for (size_t s = 0; s < G_N_ELEMENTS (series); s++)
        sum += series_value (r, i, s);
      most = MAX (most, sum);
    }
  return most;
}

static double
x_of (const struct bb_ctl_report *r, double interval)
{
  return LEFT + interval / r->intervals->len * (WIDTH - LEFT - RIGHT);
}

static void
draw_bars (const struct bb_ctl_report *r, uint64_t most, FILE *out)
{
  double width = x_of (r, 1) - x_of (r, 0);
  for (guint i = 0; i < r->intervals->len; i++)
    {
      double y = TOP + HEIGHT;
      for (size_t s = 0; s < G_N_ELEMENTS (series); s++)
        {
          uint64_t n = series_value (r, i, s);
          double height = (double)n / (double)most * HEIGHT;
          y -= height;
          if (n > 0)
            fprintf (out,
                     "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                     "height=\"%.1f\" fill=\"%s\"><title>%s: %" PRIu64
                     "</title></rect>\n",
                     x_of (r, i), y, width, height, series[s].colour,
                     series[s].name, n);
        }
    }
}

static void
draw_axes (const struct bb_ctl_report *r, uint64_t most, FILE *out)
{
  for (int i = 0; i <= TICKS; i++)
    {
      double at = (double)r->intervals->len * i / TICKS;
      fprintf (out,
               "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">+%.1f s"
               "</text>\n",
               x_of (r, at), TOP + HEIGHT + 16,
               at * (double)r->interval_us / 1e6);
    }
  fprintf (out, "<text x=\"4\" y=\"%d\">%" PRIu64 "</text>\n", TOP + 4, most);
  for (size_t s = 0; s < G_N_ELEMENTS (series); s++)
    fprintf (out, "<text x=\"%d\" y=\"18\" fill=\"%s\">%s</text>\n",
             LEFT + (int)s * 80, series[s].colour, series[s].name);
}

static void
draw_versions (const struct bb_ctl_report *r, FILE *out)
{
  for (guint i = 0; i < r->adoptions->len; i++)
    {
      const struct bb_ctl_adoption *a
          = &g_array_index (r->adoptions, struct bb_ctl_adoption, i);
      double x = x_of (r, (double)(a->first_us - r->from_us)
                              / (double)r->interval_us);
      fprintf (out,
               "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" "
               "stroke=\"#999\" stroke-dasharray=\"3\"><title>version "
               "%" PRId64 "</title></line>\n",
               x, TOP, x, TOP + HEIGHT, a->version);
    }
}

bool
bb_ctl_report_draw (const struct bb_ctl_report *r, const char *path)
{
  FILE *out = fopen (path, "w");
  if (!out)
    return false;
  uint64_t most = largest_sum (r);
  fprintf (out,
           "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
           "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
           "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
           WIDTH, TOP + HEIGHT + BOTTOM);
  draw_versions (r, out);
  draw_bars (r, most, out);
  draw_axes (r, most, out);
  fputs ("</svg>\n", out);
  bool written = !ferror (out);
  return fclose (out) == 0 && written;
}
