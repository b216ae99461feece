/*
 * The program that stands in for the operators' store.
 */
#include "t/standin/store.h"

#include "base/clock.h"
#include "t/standin/program.h"
#include "t/standin/standin.h"

#include <string.h>

#define DEFAULT_PARTS 16
#define DEFAULT_MIN_TTL_MS 1000
#define DEFAULT_PAGE 500

static const char *const single_part_topics[]
    = { "keyed.op", "keyed.servers", "keyed.status" };

static guint
count_parts (const struct store *store, const char *topic)
{
  for (gsize i = 0; i < G_N_ELEMENTS (single_part_topics); i++)
    if (strcmp (topic, single_part_topics[i]) == 0)
      return 1;
  return store->n_parts;
}

struct topic *
store_find_topic (struct store *store, const char *name)
{
  struct topic *topic = g_hash_table_lookup (store->topics, name);

  if (topic == NULL)
    {
      topic = topic_new (name, count_parts (store, name));
      g_hash_table_insert (store->topics, topic->name, topic);
    }
  return topic;
}

struct topic_part *
store_find_part (struct store *store, const char *name, gint64 part)
{
  struct topic *topic = store_find_topic (store, name);

  return part < 0 || part >= topic->n_parts ? NULL : &topic->parts[part];
}

struct group *
store_find_group (struct store *store, const char *name)
{
  struct group *group = g_hash_table_lookup (store->groups, name);

  if (group == NULL)
    {
      group = group_new ();
      g_hash_table_insert (store->groups, g_strdup (name), group);
    }
  if (store->down_since_us == 0 || store->is_expiring)
    group_advance (group, clock_now_us ());
  return group;
}

static guint16
open_door (struct store *store, int port)
{
  struct store_door *door = g_new0 (struct store_door, 1);
  SoupServer *server = soup_server_new (NULL, NULL);
  g_autoptr (GError) error = NULL;
  struct listener *listener = listener_new (server, (guint16)port, 0, &error);

  if (listener == NULL)
    program_fail (error);
  door->store = store;
  g_ptr_array_add (store->doors, door);
  store_add_calls (door, server);
  store_add_controls (door, server);
  return listener->port;
}

int
standin_store (int argc, char **argv)
{
  int port = 0;
  int doors = 1;
  int parts = DEFAULT_PARTS;
  int page = DEFAULT_PAGE;
  struct store store = { .min_ttl_ms = DEFAULT_MIN_TTL_MS };
  const GOptionEntry entries[] = {
    { "port", 0, 0, G_OPTION_ARG_INT, &port,
      "Port of the first door, 0 for any", "PORT" },
    { "doors", 0, 0, G_OPTION_ARG_INT, &doors,
      "Ports with the same contents, each with its own faults", "N" },
    { "parts", 0, 0, G_OPTION_ARG_INT, &parts, "Parts of a topic", "N" },
    { "page", 0, 0, G_OPTION_ARG_INT, &page,
      "Most items in a page of the newest", "N" },
    { "min-ttl-ms", 0, 0, G_OPTION_ARG_INT64, &store.min_ttl_ms,
      "The least time after which a member lapses", "MS" },
    { NULL },
  };
  g_autoptr (GArray) ports = g_array_new (FALSE, FALSE, sizeof (guint16));

  program_parse (argc, argv, entries);
  store.n_parts = (guint)parts;
  store.page = (guint)page;
  store.topics = g_hash_table_new (g_str_hash, g_str_equal);
  store.groups = g_hash_table_new (g_str_hash, g_str_equal);
  store.turned_away
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  store.doors = g_ptr_array_new ();
  store.counts = json_object ();
  list_init (&store.waiting);
  for (int i = 0; i < doors; i++)
    {
      guint16 bound = open_door (&store, port == 0 ? 0 : port + i);

      g_array_append_val (ports, bound);
    }
  return program_run ((const guint16 *)(void *)ports->data, ports->len);
}
