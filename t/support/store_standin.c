#include "t/support/store_standin.h"

#include "t/support/http.h"

guint
store_standin_post (guint16 port, const char *path, const char *body)
{
  g_autofree char *url = http_url (port, "%s", path);
  struct http_answer *answer = http_request ("POST", url, body, NULL);
  guint status = answer->status;

  http_answer_free (answer);
  return status;
}

void
store_standin_set_faults (guint16 port, const char *faults)
{
  g_assert_cmpuint (store_standin_post (port, "/standin/faults", faults), ==,
                    200);
}

static gboolean
has_count (json_t *body, gpointer data)
{
  return json_object_get (body, data) != NULL;
}

void
store_standin_wait_called (guint16 port, const char *name)
{
  g_autofree char *url = http_url (port, "/standin/calls");

  json_decref (http_poll_until (url, has_count, (gpointer)name));
}
