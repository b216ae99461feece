#include "t/support/peers.h"

#include "t/support/http.h"

void
peers_publish (struct deployment *d, int leaving_upstream)
{
  g_autofree char *url = http_url (d->platform->ports[0], "/test/vms");
  json_t *vms = json_array ();
  struct http_answer *answer;
  char *text;

  for (guint i = 0; i < d->n_entries; i++)
    {
      g_autofree char *name = g_strdup_printf ("entry-%u", i + 1);
      g_autofree char *address
          = g_strdup_printf ("127.0.0.1:%u", d->entries[i]->ports[1]);

      json_array_append_new (
          vms, json_pack ("{s:s, s:s, s:s, s:s, s:s}", "name", name, "role",
                          "entry", "availability_zone", "reykjavik-a",
                          "address", address, "status", "live"));
    }
  if (leaving_upstream >= 0)
    {
      g_autofree char *name = g_strdup_printf ("minion-%d", leaving_upstream);

      json_array_append_new (vms, json_pack ("{s:s, s:s, s:s}", "name", name,
                                             "role", "upstream", "status",
                                             "leaving"));
    }
  text = json_dumps (vms, JSON_COMPACT);
  answer = http_request ("PUT", url, text, NULL);
  g_assert_cmpuint (answer->status, ==, 200);
  http_answer_free (answer);
  free (text);
  json_decref (vms);
}

struct view
{
  const char *vm;
  const char *state;
};

static gboolean
sees (json_t *body, gpointer data)
{
  const struct view *view = data;
  json_t *peer;
  size_t i;

  json_array_foreach (json_get (body, "peers"), i, peer)
  {
    const char *vm = json_string_value (json_get (peer, "vm"));
    const char *state = json_string_value (json_get (peer, "state"));

    if (g_str_equal (vm, view->vm))
      return g_str_equal (state, view->state);
  }
  return FALSE;
}

void
peers_wait_state (struct deployment *d, guint viewer, guint subject,
                  const char *state)
{
  g_autofree char *url = deployment_url (d, viewer, "/v1/state");
  g_autofree char *vm = g_strdup_printf ("entry-%u", subject + 1);
  struct view view = { vm, state };

  json_decref (http_poll_until (url, sees, &view));
}

void
peers_connect (struct deployment *d)
{
  peers_publish (d, -1);
  for (guint i = 0; i < d->n_entries; i++)
    for (guint j = 0; j < d->n_entries; j++)
      if (i != j)
        peers_wait_state (d, i, j, "alive");
}

char *
peers_draw_ticket (struct deployment *d, guint index)
{
  g_autofree char *url = deployment_url (d, index, "/v1/tickets");
  struct http_answer *answer = http_request ("POST", url, NULL, NULL);
  json_t *body = http_answer_json (answer);
  char *ticket = g_strdup (
      json_string_value (json_array_get (json_get (body, "tickets"), 0)));

  g_assert_nonnull (ticket);
  json_decref (body);
  http_answer_free (answer);
  return ticket;
}

char *
peers_job (const char *ticket, guint n_tasks, guint run_ms, guint first_value)
{
  g_autofree char *job = deployment_job (n_tasks, run_ms, first_value);

  return g_strdup_printf ("{\"ticket\":\"%s\",%s", ticket, job + 1);
}

gint64
peers_count (struct deployment *d, guint index, const char *name)
{
  g_autofree char *url = deployment_url (d, index, "/v1/state");
  json_t *state = http_get_json (url);
  gint64 count = json_get_int (json_get (state, "peer_messages"), name);

  json_decref (state);
  return count;
}
