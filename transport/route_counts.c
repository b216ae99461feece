#include "transport/route_counts.h"

/* The name under which the jobs of further routes count.  */
#define OTHER_NAME "other"

struct route_counts
{
  GPtrArray *routes; /* struct route_count */
};

static void
route_count_free (gpointer data)
{
  struct route_count *route = data;

  g_free (route->name);
  g_free (route);
}

struct route_counts *
route_counts_new (void)
{
  struct route_counts *counts = g_new0 (struct route_counts, 1);

  counts->routes = g_ptr_array_new_with_free_func (route_count_free);
  return counts;
}

void
route_counts_free (struct route_counts *counts)
{
  g_ptr_array_unref (counts->routes);
  g_free (counts);
}

static struct route_count *
find_route (const struct route_counts *counts, const char *name)
{
  for (guint i = 0; i < counts->routes->len; i++)
    {
      struct route_count *route = g_ptr_array_index (counts->routes, i);

      if (g_str_equal (route->name, name))
        return route;
    }
  return NULL;
}

struct route_count *
route_counts_get (struct route_counts *counts, const char *name)
{
  struct route_count *route = find_route (counts, name);

  if (route == NULL && counts->routes->len >= ROUTE_COUNTS_MAX)
    {
      name = OTHER_NAME;
      route = find_route (counts, name);
    }
  if (route != NULL)
    return route;
  route = g_new0 (struct route_count, 1);
  route->name = g_strdup (name);
  g_ptr_array_add (counts->routes, route);
  return route;
}

void
route_counts_reset_waiting (struct route_counts *counts)
{
  for (guint i = 0; i < counts->routes->len; i++)
    ((struct route_count *)g_ptr_array_index (counts->routes, i))->n_waiting
        = 0;
}

static json_t *
describe_route (const struct route_count *route)
{
  json_t *refused = json_object ();

  for (guint i = 0; i < REFUSAL_COUNT; i++)
    json_object_set_new (refused, refusal_cause_name ((enum refusal_cause)i),
                         json_integer ((json_int_t)route->n_refused[i]));
  return json_pack ("{s:s, s:o, s:I, s:I}", "route", route->name, "refused",
                    refused, "late", (json_int_t)route->n_late, "waiting",
                    (json_int_t)route->n_waiting);
}

json_t *
route_counts_describe (const struct route_counts *counts)
{
  json_t *routes = json_array ();

  for (guint i = 0; i < counts->routes->len; i++)
    json_array_append_new (
        routes, describe_route (g_ptr_array_index (counts->routes, i)));
  return routes;
}

/* The name of ROUTE as the value of a label.  */
static char *
escape_name (const struct route_count *route)
{
  GString *text = g_string_new (NULL);

  for (const char *c = route->name; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        g_string_append_c (text, '\\');
      if (*c == '\n')
        g_string_append (text, "\\n");
      else
        g_string_append_c (text, *c);
    }
  return g_string_free (text, FALSE);
}

static void
format_refused (const struct route_counts *counts, GString *text)
{
  static const char name[] = "radishchute_route_jobs_refused_total";

  g_string_append_printf (
      text,
      "# HELP %s Jobs of a route refused, by cause.\n# TYPE %s counter\n",
      name, name);
  for (guint i = 0; i < counts->routes->len; i++)
    {
      const struct route_count *route = g_ptr_array_index (counts->routes, i);
      g_autofree char *label = escape_name (route);

      for (guint k = 0; k < REFUSAL_COUNT; k++)
        g_string_append_printf (
            text, "%s{route=\"%s\",cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
            name, label, refusal_cause_name ((enum refusal_cause)k),
            route->n_refused[k]);
    }
}

/* Appends the metric NAME, the member at OFFSET of each route.  */
static void
format_member (const struct route_counts *counts, const char *name,
               const char *type, const char *help, gsize offset, GString *text)
{
  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", name, help,
                          name, type);
  for (guint i = 0; i < counts->routes->len; i++)
    {
      const struct route_count *route = g_ptr_array_index (counts->routes, i);
      g_autofree char *label = escape_name (route);

      g_string_append_printf (text, "%s{route=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              name, label,
                              G_STRUCT_MEMBER (guint64, route, offset));
    }
}

void
route_counts_format (const struct route_counts *counts, GString *text)
{
  format_refused (counts, text);
  format_member (counts, "radishchute_route_jobs_late_total", "counter",
                 "Jobs of a route done after their objective.",
                 offsetof (struct route_count, n_late), text);
  format_member (counts, "radishchute_route_jobs_waiting", "gauge",
                 "Jobs of a route of which a task waits for a slot.",
                 offsetof (struct route_count, n_waiting), text);
}
