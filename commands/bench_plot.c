#include "commands/bench_report.h"

#include <math.h>

/* Size and margins of the plot, in pixels.  */
#define WIDTH 640.0
#define HEIGHT 400.0
#define LEFT_MARGIN 60.0
#define RIGHT_MARGIN 20.0
#define TOP_MARGIN 40.0
#define BOTTOM_MARGIN 50.0

/* The range of the logarithmic time axis, as powers of ten in milliseconds. */
#define MIN_DECADE (-1)
#define MAX_DECADE 4

/* Returns the x coordinate for a time in milliseconds.  Times beyond the axis
   are clamped to it.  */
static gdouble
get_x (gdouble ms)
{
  gdouble decade = log10 (MAX (ms, 1e-9));

  decade = CLAMP (decade, MIN_DECADE, MAX_DECADE);
  return LEFT_MARGIN
         + (decade - MIN_DECADE) / (MAX_DECADE - MIN_DECADE)
               * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN);
}

static gdouble
get_y (gdouble percent)
{
  return HEIGHT - BOTTOM_MARGIN
         - percent / 100 * (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN);
}

static void
draw_axes (GString *svg)
{
  for (int decade = MIN_DECADE; decade <= MAX_DECADE; decade++)
    {
      gdouble x = get_x (pow (10, decade));

      g_string_append_printf (
          svg,
          "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#ddd'/>"
          "<text x='%.1f' y='%.1f' text-anchor='middle'>%g</text>\n",
          x, TOP_MARGIN, x, HEIGHT - BOTTOM_MARGIN, x,
          HEIGHT - BOTTOM_MARGIN + 16, pow (10, decade));
    }
  for (int percent = 0; percent <= 100; percent += 25)
    g_string_append_printf (
        svg,
        "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#ddd'/>"
        "<text x='%.1f' y='%.1f' text-anchor='end'>%d %%</text>\n",
        LEFT_MARGIN, get_y (percent), WIDTH - RIGHT_MARGIN, get_y (percent),
        LEFT_MARGIN - 6, get_y (percent) + 4, percent);
  g_string_append_printf (svg,
                          "<text x='%.1f' y='%.1f' text-anchor='middle'>"
                          "time over ideal, ms</text>\n",
                          (LEFT_MARGIN + WIDTH - RIGHT_MARGIN) / 2,
                          HEIGHT - 12);
}

static void
draw_curve (GString *svg, const json_t *report, const char *colour,
            gdouble label_y)
{
  json_t *curve = json_object_get (report, "curve");
  g_autofree char *name = g_markup_escape_text (
      json_string_value (json_object_get (report, "name")), -1);

  g_string_append_printf (
      svg, "<polyline fill='none' stroke='%s' stroke-width='2' points='",
      colour);
  for (size_t i = 0; i < json_array_size (curve); i++)
    {
      json_t *point = json_array_get (curve, i);

      g_string_append_printf (
          svg, "%.1f,%.1f ",
          get_x (json_number_value (json_array_get (point, 1))),
          get_y (json_number_value (json_array_get (point, 0))));
    }
  g_string_append_printf (svg,
                          "'/>\n<text x='%.1f' y='%.1f' fill='%s'>%s</text>\n",
                          LEFT_MARGIN + 4, label_y, colour, name);
}

gboolean
bench_report_plot (const json_t *report, const json_t *earlier,
                   const char *path, GError **error)
{
  g_autoptr (GString) svg = g_string_new (NULL);

  g_string_append_printf (
      svg,
      "<svg xmlns='http://www.w3.org/2000/svg' width='%.0f'"
      " height='%.0f' font-family='sans-serif' "
      "font-size='12'>\n<rect width='100%%' "
      "height='100%%' fill='white'/>\n",
      WIDTH, HEIGHT);
  draw_axes (svg);
  if (earlier != NULL)
    draw_curve (svg, earlier, "#999", 32);
  draw_curve (svg, report, "#06c", 16);
  g_string_append (svg, "</svg>\n");
  return g_file_set_contents (path, svg->str, (gssize)svg->len, error);
}
