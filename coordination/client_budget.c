#include "coordination/client_budget.h"

#include <string.h>

/* The share of clients in the memory.  */
#define MEMORY_SHARE 2

/* The share of the descriptors that is kept from clients, and its lower limit:
   what a process needs of them does not shrink with the machine, as each
   upstream may take eight connections and more.  Clients get half of them at
   least.  */
#define DESCRIPTORS_KEPT_SHARE 5
#define MIN_DESCRIPTORS_KEPT 96

/* The shares of checks and scrapes in the clients' descriptors, with their
   upper limits.  */
#define READINESS_SHARE 16
#define MAX_READINESS 64
#define METRICS_SHARE 8
#define MAX_METRICS 32

/* One body may have this share of the clients' memory.  */
#define BODY_SHARE 4

/* A parsed value of JSON takes up to 256 bytes; half of the clients' memory is
   allowed for one text.  Any machine takes MIN_VALUES.  */
#define VALUE_BYTES 512
#define MIN_VALUES 16384

void
client_budget_init (struct client_budget *budget,
                    const struct machine_limits *limits, guint max_callers)
{
  guint n_kept = MAX (limits->descriptors / DESCRIPTORS_KEPT_SHARE,
                      MIN_DESCRIPTORS_KEPT);
  guint n = limits->descriptors - MIN (n_kept, limits->descriptors / 2);
  guint n_readiness = CLAMP (n / READINESS_SHARE, 1, MAX_READINESS);
  guint n_metrics = CLAMP (n / METRICS_SHARE, 1, MAX_METRICS);
  guint n_other = n_readiness + n_metrics;

  memset (budget, 0, sizeof *budget);
  list_init (&budget->clients);
  budget->machine_bytes = limits->memory_bytes;
  budget->max_bytes = limits->memory_bytes / MEMORY_SHARE;
  budget->max_connections[CLIENT_READINESS] = n_readiness;
  budget->max_connections[CLIENT_METRICS] = n_metrics;
  budget->max_connections[CLIENT_CALLERS]
      = MIN (max_callers, n > n_other ? n - n_other : 1);
}

gboolean
client_budget_may_grow (const struct client_budget *budget,
                        enum client_class class, gsize n_bytes)
{
  /* The shares of the other classes are small: callers' memory does not keep
     them out.  */
  return class != CLIENT_CALLERS
         || budget->n_bytes + n_bytes <= budget->max_bytes;
}

gboolean
client_budget_has_room (const struct client_budget *budget,
                        enum client_class class, gsize n_bytes)
{
  return budget->n_connections[class] < budget->max_connections[class]
         && client_budget_may_grow (budget, class, n_bytes);
}

void
client_budget_add (struct client_budget *budget, struct client *client)
{
  client->state = CLIENT_READING;
  client->n_bytes = 0;
  list_append (&budget->clients, &client->link);
  budget->n_connections[client->class]++;
  budget->n_bytes += client->connection_bytes;
}

void
client_budget_remove (struct client_budget *budget, struct client *client)
{
  client_budget_set_bytes (budget, client, 0);
  list_remove (&client->link);
  budget->n_connections[client->class]--;
  budget->n_bytes -= client->connection_bytes;
}

void
client_budget_set_state (struct client_budget *budget, struct client *client,
                         enum client_state state)
{
  if (client->state == state)
    return;
  client->state = state;
  list_remove (&client->link);
  list_append (&budget->clients, &client->link);
}

void
client_budget_end (struct client_budget *budget, struct client *client)
{
  client_budget_set_state (budget, client, CLIENT_ENDING);
  client_budget_set_bytes (budget, client, 0);
  budget->n_bytes -= client->connection_bytes;
  client->connection_bytes = 0;
}

void
client_budget_set_bytes (struct client_budget *budget, struct client *client,
                         gsize n_bytes)
{
  budget->n_bytes += n_bytes;
  budget->n_bytes -= client->n_bytes;
  client->n_bytes = n_bytes;
}

/* Whether CLIENT gives way before OTHER, which is longer in its state.  */
static gboolean
gives_way_before (const struct client *client, const struct client *other)
{
  if (client->state != other->state)
    return client->state < other->state;
  return client->state == CLIENT_READING && client->n_bytes > other->n_bytes;
}

struct client *
client_budget_choose (struct client_budget *budget, enum client_class class)
{
  struct client *chosen = NULL;
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &budget->clients)
    {
      struct client *client = list_entry (node, struct client, link);

      if (client->class != class || client->state >= CLIENT_ANSWERING)
        continue;
      if (chosen == NULL || gives_way_before (client, chosen))
        chosen = client;
    }
  return chosen;
}

gsize
client_budget_get_max_body (const struct client_budget *budget, gsize limit)
{
  return MIN (limit, budget->max_bytes / BODY_SHARE);
}

gsize
client_budget_get_max_values (const struct client_budget *budget)
{
  return MAX (budget->max_bytes / VALUE_BYTES, MIN_VALUES);
}

guint
client_budget_count (const struct client_budget *budget)
{
  guint n = 0;

  for (guint i = 0; i < CLIENT_N_CLASSES; i++)
    n += budget->n_connections[i];
  return n;
}
