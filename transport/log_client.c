#include "transport/log_client.h"

#include "base/event_log.h"
#include "protocol/log_answer.h"
#include "transport/log_request.h"

/* How long the log may hold back the answer to a poll until there is a
   record.  */
#define LONG_POLL_MS 5000

/* The most records in the answer to a poll.  */
#define MAX_POLL_RECORDS 200

/* A poll is cancelled this long after it was sent.  */
#define POLL_TIMEOUT_MS 7000

/* Bounds of retry_ms, which doubles with each failed poll.  */
#define MIN_RETRY_MS 100
#define MAX_RETRY_MS 2000

struct log_client
{
  char *url;
  char *stream;
  guint64 next; /* offset of the record to be read next */
  struct log_reader *reader;
  SoupSession *session;
  struct log_request *request;
  GRand *rand;
  guint retry_source;
  guint retry_ms; /* the longest pause before the next retry */
  gboolean is_available;
  gboolean is_behind; /* the log ends before the next offset */
};

static void poll_log (struct log_client *client);

static gboolean
on_retry (gpointer data)
{
  struct log_client *client = data;

  client->retry_source = 0;
  poll_log (client);
  return G_SOURCE_REMOVE;
}

static void
retry_later (struct log_client *client, const char *reason)
{
  guint pause_ms = (guint)g_rand_int_range (
      client->rand, (gint32)client->retry_ms / 2, (gint32)client->retry_ms);

  if (client->is_available)
    event_log (EVENT_LOG_UNAVAILABLE, "%s: %s", client->url, reason);
  client->is_available = FALSE;
  client->retry_source = g_timeout_add (pause_ms, on_retry, client);
  client->retry_ms = MIN (client->retry_ms * 2, MAX_RETRY_MS);
}

/* Delivers the records of ANSWER up to the first malformed one.  Returns FALSE
   if there is one.  */
static gboolean
deliver_records (struct log_client *client, const struct log_answer *answer)
{
  struct log_answer_record record;

  for (size_t i = 0; i < json_array_size (answer->records); i++)
    {
      if (!log_answer_get_record (answer, i, &record))
        return FALSE;
      if (record.offset < client->next)
        continue;
      if (record.offset > client->next)
        client->reader->ops->gap_found (client->reader, record.offset);
      client->next = record.offset + 1;
      client->reader->ops->record_read (client->reader, record.offset,
                                        record.data);
      if (client->next != record.offset + 1)
        return TRUE;
    }
  return TRUE;
}

/* Logs, once, that the stream ends before the next offset, as when log_url
   names another log than before.  */
static void
check_behind (struct log_client *client, const struct log_answer *answer)
{
  gboolean is_behind = answer->next < client->next;

  if (is_behind && !client->is_behind)
    event_log (EVENT_LOG_BEHIND,
               "%s: stream %s ends at offset %" G_GUINT64_FORMAT
               ", but records before %" G_GUINT64_FORMAT
               " were read already; the documents in force are kept; set "
               "log_url to the log that was used before",
               client->url, client->stream, answer->next, client->next);
  client->is_behind = is_behind;
}

/* Returns FALSE if the answer has a malformed record or lacks records that the
   log says it has.  */
static gboolean
handle_records (struct log_client *client, const struct log_answer *answer)
{
  guint64 before = client->next;

  check_behind (client, answer);
  if (!deliver_records (client, answer))
    return FALSE;
  if (client->next == answer->next)
    client->reader->ops->caught_up (client->reader, client->next);
  else if (client->next == before)
    return FALSE;
  return TRUE;
}

static gboolean
handle_gap (struct log_client *client, const struct log_answer *answer)
{
  if (answer->first <= client->next)
    return FALSE;
  client->next = answer->first;
  client->reader->ops->gap_found (client->reader, client->next);
  return TRUE;
}

static void
mark_available (struct log_client *client)
{
  if (!client->is_available)
    event_log (EVENT_LOG_AVAILABLE, "%s", client->url);
  client->is_available = TRUE;
  client->retry_ms = MIN_RETRY_MS;
}

static void
on_polled (guint status, json_t *root, const GError *error, gpointer data)
{
  struct log_client *client = data;
  g_autoptr (GError) problem = NULL;
  struct log_answer answer;
  gboolean is_good;

  client->request = NULL;
  if (root == NULL)
    {
      retry_later (client, error->message);
      return;
    }
  if (!log_answer_read (status, root, &answer, &problem))
    {
      retry_later (client, problem->message);
      return;
    }
  is_good = answer.records != NULL ? handle_records (client, &answer)
                                   : handle_gap (client, &answer);
  if (!is_good)
    {
      retry_later (client,
                   "the answer lacks records that it should have, or has a "
                   "malformed one");
      return;
    }
  mark_available (client);
  poll_log (client);
}

static void
poll_log (struct log_client *client)
{
  /* While the log is unavailable, ask it to answer at once, so that its return
     is noticed without the wait of a long poll.  */
  guint wait_ms = client->is_available ? LONG_POLL_MS : 0;
  g_autofree char *uri = log_request_format_read_uri (
      client->url, client->stream, client->next, MAX_POLL_RECORDS, wait_ms);

  if (client->request != NULL || client->retry_source != 0)
    return;
  client->request
      = log_request_start (client->session, SOUP_METHOD_GET, uri, NULL,
                           POLL_TIMEOUT_MS, on_polled, client);
}

struct log_client *
log_client_new (const char *url, const char *stream, guint64 from,
                guint32 seed, struct log_reader *reader)
{
  struct log_client *client = g_new0 (struct log_client, 1);

  client->url = g_strdup (url);
  client->stream = g_strdup (stream);
  client->next = from;
  client->reader = reader;
  client->retry_ms = MIN_RETRY_MS;
  client->session = log_request_new_session ();
  client->rand = g_rand_new_with_seed (seed);
  poll_log (client);
  return client;
}

void
log_client_free (struct log_client *client)
{
  if (client->request != NULL)
    log_request_cancel (client->request);
  if (client->retry_source != 0)
    g_source_remove (client->retry_source);
  g_rand_free (client->rand);
  g_object_unref (client->session);
  g_free (client->url);
  g_free (client->stream);
  g_free (client);
}

void
log_client_seek (struct log_client *client, guint64 from)
{
  if (client->next == from)
    return;
  client->next = from;
  if (client->request == NULL)
    return;
  log_request_cancel (client->request);
  client->request = NULL;
  poll_log (client);
}

gboolean
log_client_is_available (const struct log_client *client)
{
  return client->is_available;
}
