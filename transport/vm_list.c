#include "transport/vm_list.h"

#include "base/error.h"
#include "base/event_log.h"
#include "protocol/json_read.h"

#include <libsoup/soup.h>

/* The pause after a read grows with the length of the list, so that reads
   transfer BYTES_PER_SEC on average, but stays between MIN_PAUSE_MS and
   MAX_PAUSE_MS.  An unchanged list is answered without a body, so the pause
   after it is the shortest.  */
#define BYTES_PER_SEC 4096
#define MIN_PAUSE_MS 1000
#define MAX_PAUSE_MS 120000

/* A read fails when no data was sent or received for this long.  */
#define TIMEOUT_SEC 5

struct vm_list
{
  char *uri;
  struct vm_list_owner *owner;
  SoupSession *session;
  GCancellable *cancellable;
  guint timer;
  char *entity_tag;                 /* of the list read last, or NULL */
  gboolean is_reported_unavailable; /* the log says so */
};

static void read_list (struct vm_list *list);

static gboolean
on_timer (gpointer data)
{
  struct vm_list *list = data;

  list->timer = 0;
  read_list (list);
  return G_SOURCE_REMOVE;
}

static const char *
get_text (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static void
fill_item (json_t *object, struct vm_list_item *item)
{
  item->name = get_text (object, "name");
  item->role = get_text (object, "role");
  item->availability_zone = get_text (object, "availability_zone");
  item->address = get_text (object, "address");
  item->is_leaving = g_str_equal (get_text (object, "status"), "leaving");
}

static gboolean
deliver_list (struct vm_list *list, json_t *root)
{
  json_t *vms = json_object_get (root, "vms");
  json_t *version = json_object_get (root, "version");
  guint n = (guint)json_array_size (vms);
  struct vm_list_item *items;

  if (!json_is_array (vms))
    return FALSE;
  items = g_new0 (struct vm_list_item, n + 1);
  for (guint i = 0; i < n; i++)
    fill_item (json_array_get (vms, i), &items[i]);
  list->owner->ops->list_read (list->owner, items, n);
  g_free (items);
  g_clear_pointer (&list->entity_tag, g_free);
  if (json_is_integer (version))
    list->entity_tag = g_strdup_printf ("\"%" JSON_INTEGER_FORMAT "\"",
                                        json_integer_value (version));
  return TRUE;
}

static void
log_availability (struct vm_list *list, gboolean is_available,
                  const char *reason)
{
  if (is_available && list->is_reported_unavailable)
    event_log (EVENT_VM_LIST_AVAILABLE, "%s", list->uri);
  else if (!is_available && !list->is_reported_unavailable)
    event_log (EVENT_VM_LIST_UNAVAILABLE, "%s: %s", list->uri, reason);
  list->is_reported_unavailable = !is_available;
}

static gboolean
handle_answer (struct vm_list *list, SoupMessage *message, GBytes *body,
               GError **error)
{
  json_t *root;
  gboolean valid;

  if (soup_message_get_status (message) == SOUP_STATUS_NOT_MODIFIED)
    return TRUE;
  if (soup_message_get_status (message) != SOUP_STATUS_OK)
    {
      error_set (error, ERROR_UNAVAILABLE, "the HTTP status is %u",
                 soup_message_get_status (message));
      return FALSE;
    }
  root = json_parse (g_bytes_get_data (body, NULL), g_bytes_get_size (body),
                     error);
  if (root == NULL)
    return FALSE;
  valid = deliver_list (list, root);
  json_decref (root);
  if (!valid)
    error_set (error, ERROR_UNAVAILABLE, "the answer has no array 'vms'");
  return valid;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupSession *session = SOUP_SESSION (source);
  SoupMessage *message
      = soup_session_get_async_result_message (session, result);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (session, result, &error);
  struct vm_list *list = data;
  gsize pause_ms = MIN_PAUSE_MS;
  gboolean valid = FALSE;

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  if (body != NULL)
    {
      pause_ms = g_bytes_get_size (body) * 1000 / BYTES_PER_SEC;
      valid = handle_answer (list, message, body, &error);
    }
  log_availability (list, valid, error != NULL ? error->message : NULL);
  pause_ms = CLAMP (pause_ms, MIN_PAUSE_MS, MAX_PAUSE_MS);
  /* Shortens the pause by a random part, so that the VMs read at different
     times and learn of changes from each other.  */
  pause_ms -= g_random_int_range (0, (gint32)pause_ms / 4);
  list->timer = g_timeout_add ((guint)pause_ms, on_timer, list);
}

static void
read_list (struct vm_list *list)
{
  g_autoptr (SoupMessage) message
      = soup_message_new (SOUP_METHOD_GET, list->uri);

  if (list->entity_tag != NULL)
    soup_message_headers_replace (soup_message_get_request_headers (message),
                                  "If-None-Match", list->entity_tag);
  soup_session_send_and_read_async (list->session, message, G_PRIORITY_DEFAULT,
                                    list->cancellable, on_answer, list);
}

struct vm_list *
vm_list_new (const char *url, struct vm_list_owner *owner)
{
  struct vm_list *list = g_new0 (struct vm_list, 1);

  list->uri = g_strconcat (url, "/v1/vms", NULL);
  list->owner = owner;
  list->session = soup_session_new_with_options ("proxy-resolver", NULL,
                                                 "timeout", TIMEOUT_SEC, NULL);
  list->cancellable = g_cancellable_new ();
  read_list (list);
  return list;
}

void
vm_list_free (struct vm_list *list)
{
  g_cancellable_cancel (list->cancellable);
  if (list->timer != 0)
    g_source_remove (list->timer);
  g_object_unref (list->cancellable);
  g_object_unref (list->session);
  g_free (list->entity_tag);
  g_free (list->uri);
  g_free (list);
}
