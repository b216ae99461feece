#include "state/route.h"

#include <string.h>

static void
route_free (gpointer data)
{
  struct route *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->service);
  g_free (route);
}

struct route_table *
route_table_new (guint64 version)
{
  struct route_table *table = g_new0 (struct route_table, 1);

  table->ref_count = 1;
  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (route_free);
  table->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_ptr_array_unref);
  return table;
}

struct route_table *
route_table_ref (struct route_table *table)
{
  table->ref_count++;
  return table;
}

void
route_table_unref (struct route_table *table)
{
  if (--table->ref_count > 0)
    return;
  g_hash_table_unref (table->hosts);
  g_ptr_array_unref (table->routes);
  g_free (table);
}

/* HOST without a port, in lower case.  Free with g_free ().  */
static char *
normalise_host (const char *host)
{
  const char *colon = strchr (host, ':');

  return g_ascii_strdown (host, colon != NULL ? colon - host : -1);
}

/* Inserts ROUTE after the routes whose prefix is as long or longer.  */
static void
insert_by_length (GPtrArray *routes, struct route *route)
{
  gsize length = strlen (route->prefix);
  guint i = routes->len;

  while (i > 0
         && strlen (((struct route *)routes->pdata[i - 1])->prefix) < length)
    i--;
  g_ptr_array_insert (routes, (gint)i, route);
}

struct route *
route_table_add (struct route_table *table, const char *host,
                 const char *prefix)
{
  struct route *route = g_new0 (struct route, 1);
  GPtrArray *same_host;

  route->name = g_strdup ("");
  route->host = normalise_host (host);
  route->prefix = g_strdup (prefix);
  route->service = g_strdup ("");
  route->attempts = 1;
  route->stretch = 1.0;
  g_ptr_array_add (table->routes, route);
  same_host = g_hash_table_lookup (table->hosts, route->host);
  if (same_host == NULL)
    {
      same_host = g_ptr_array_new ();
      g_hash_table_insert (table->hosts, g_strdup (route->host), same_host);
    }
  insert_by_length (same_host, route);
  return route;
}

const struct route *
route_table_find (const struct route_table *table, const char *host,
                  const char *path)
{
  g_autofree char *name = normalise_host (host);
  GPtrArray *routes = g_hash_table_lookup (table->hosts, name);

  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const struct route *route = g_ptr_array_index (routes, i);

      if (g_str_has_prefix (path, route->prefix))
        return route;
    }
  return NULL;
}

gboolean
route_table_has_service (const struct route_table *table, const char *service)
{
  for (guint i = 0; i < table->routes->len; i++)
    {
      const struct route *route = g_ptr_array_index (table->routes, i);

      if (g_str_equal (route->service, service))
        return TRUE;
    }
  return FALSE;
}
