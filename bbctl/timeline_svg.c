#include "bbctl/timeline.h"
#include <stdio.h>
#include <string.h>

/* In pixels, except TICKS.  */
enum
{
  WIDTH = 1200,
  LEFT = 140,
  RIGHT = 110,
  TOP = 40,
  LANE_HEIGHT = 48,
  MARKER_RADIUS = 5,
  TICKS = 8
};

struct picture
{
  FILE *out;
  GPtrArray *lanes; /* names of VMs */
  int64_t from;
  int64_t to;
};

static double
x_of (const struct picture *p, int64_t time_us)
{
  double span = (double)MAX (p->to - p->from, 1);

  return LEFT + (double)(time_us - p->from) / span * (WIDTH - LEFT - RIGHT);
}

static const char *
colour_of (const char *level)
{
  if (!strcmp (level, "error"))
    return "#c0392b";
  if (g_str_has_prefix (level, "warn"))
    return "#d68910";
  return "#2471a3";
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
collect_lanes (struct picture *p, const GPtrArray *events)
{
  for (guint i = 0; i < events->len; i++)
    {
      const struct bb_ctl_event *e = events->pdata[i];
      if (!g_ptr_array_find_with_equal_func (p->lanes, e->run->vm, g_str_equal,
                                             NULL))
        g_ptr_array_add (p->lanes, e->run->vm);
    }
  g_ptr_array_sort (p->lanes, compare_names);
  if (events->len)
    {
      p->from = ((struct bb_ctl_event *)events->pdata[0])->place_us;
      p->to
          = ((struct bb_ctl_event *)events->pdata[events->len - 1])->place_us;
    }
}

static void
draw_axis (const struct picture *p)
{
  int bottom = TOP + (int)p->lanes->len * LANE_HEIGHT;

  for (int i = 0; i <= TICKS; i++)
    {
      int64_t us = p->from + (p->to - p->from) * i / TICKS;
      fprintf (p->out,
               "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" "
               "stroke=\"#ddd\"/>"
               "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">+%.3f s"
               "</text>\n",
               x_of (p, us), TOP - 10, x_of (p, us), bottom, x_of (p, us),
               TOP - 16, (double)(us - p->from) / 1e6);
    }
  for (guint i = 0; i < p->lanes->len; i++)
    {
      g_autofree char *name = g_markup_escape_text (p->lanes->pdata[i], -1);
      int y = TOP + (int)i * LANE_HEIGHT + LANE_HEIGHT / 2;
      fprintf (p->out,
               "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" "
               "stroke=\"#999\"/><text x=\"8\" y=\"%d\">%s</text>\n",
               LEFT, y, WIDTH - RIGHT, y, y + 4, name);
    }
}

/* Omits a label that would cover the previous one; the title of each marker
   has the text, too.  */
static void
draw_event (const struct picture *p, const struct bb_ctl_event *e,
            double *label_end)
{
  guint lane = 0;
  g_ptr_array_find_with_equal_func (p->lanes, e->run->vm, g_str_equal, &lane);
  g_autofree char *title = g_markup_escape_text (
      json_object_to_json_string_ext (e->line, JSON_C_TO_STRING_PLAIN), -1);
  g_autofree char *name
      = g_markup_escape_text (bb_ctl_json_string (e->line, "event"), -1);
  double x = x_of (p, e->place_us);
  int y = TOP + (int)lane * LANE_HEIGHT + LANE_HEIGHT / 2;

  fprintf (p->out,
           "<circle cx=\"%.1f\" cy=\"%d\" r=\"%d\" fill=\"%s\"><title>%s"
           "</title></circle>\n",
           x, y, MARKER_RADIUS,
           colour_of (bb_ctl_json_string (e->line, "level")), title);
  if (x < label_end[lane])
    return;
  fprintf (p->out, "<text x=\"%.1f\" y=\"%d\">%s</text>\n", x,
           y - MARKER_RADIUS - 3, name);
  label_end[lane] = x + 6.5 * (double)strlen (name) + 4;
}

bool
bb_ctl_timeline_draw (const GPtrArray *events, const char *path)
{
  struct picture p = { .out = fopen (path, "w"), .lanes = g_ptr_array_new () };

  if (!p.out)
    {
      g_ptr_array_unref (p.lanes);
      return false;
    }
  collect_lanes (&p, events);
  double *label_end = g_new0 (double, p.lanes->len + 1);
  int height = TOP + (int)p.lanes->len * LANE_HEIGHT + 20;
  fprintf (p.out,
           "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
           "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
           "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
           WIDTH, height);
  draw_axis (&p);
  for (guint i = 0; i < events->len; i++)
    draw_event (&p, events->pdata[i], label_end);
  fputs ("</svg>\n", p.out);
  g_free (label_end);
  g_ptr_array_unref (p.lanes);
  bool written = !ferror (p.out);
  return fclose (p.out) == 0 && written;
}
