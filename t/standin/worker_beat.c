/*
 * How worker stand-ins register themselves in the store stand-in.
 */
#include "t/standin/worker.h"

#include "base/clock.h"

#include <string.h>

#define CPU_PER_SLOT 1000
#define BEATS_TO_EXPIRY 3

/* A heartbeat on its way.  */
struct beat
{
  struct worker *worker;
  gint64 born_ms;
  gboolean is_drain;
};

static json_t *
make_entry (struct worker *worker)
{
  const struct fleet *fleet = worker->fleet;
  gint64 now_us = clock_now_us ();
  g_autofree char *address
      = g_strdup_printf ("127.0.0.1:%u", worker->entry_port);
  gboolean is_draining = worker->state == WORKER_DRAINING;
  json_t *entry = json_pack (
      "{ss ss ss ss sI ss si s{sI sI sI} s[ss] sI sI sI}", "service",
      fleet->service, "addr", address, "zone", fleet->zone, "version", "v1",
      "slots", (json_int_t)(worker->capacity.cpu / CPU_PER_SLOT), "state",
      is_draining ? "draining" : "ready", "warmupLeftMs", 0, "capacity", "cpu",
      (json_int_t)worker->capacity.cpu, "memMb",
      (json_int_t)worker->capacity.memory_mb, "gpu",
      (json_int_t)worker->capacity.gpu, "labels", worker->labels[0],
      worker->labels[1], "clockMs",
      (json_int_t)worker_clock_ms (worker, now_us), "born",
      (json_int_t)worker->born_ms, "seq", (json_int_t)++worker->seq);

  if (is_draining)
    json_add_int (entry, "remainingMs",
                  worker->leave_us == 0
                      ? worker->drain_ms
                      : MAX (0, worker->leave_us - now_us) / USEC_PER_MSEC);
  return entry;
}

static void
send_entry (struct worker *worker, char *text, gint64 ttl_ms,
            GAsyncReadyCallback on_sent, gpointer data)
{
  struct fleet *fleet = worker->fleet;
  g_autofree char *url = g_strdup_printf (
      "http://127.0.0.1:%u/standin/put?topic=keyed.servers&key=%s"
      "&ttl_ms=%" G_GINT64_FORMAT,
      fleet->store_port, worker->id, ttl_ms);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", body);
  soup_session_send_and_read_async (fleet->session, msg, G_PRIORITY_DEFAULT,
                                    NULL, on_sent, data);
}

/* Sends what has become due while a heartbeat was on its way.  */
static void
send_due (struct worker *worker)
{
  gboolean is_up
      = worker->state == WORKER_READY || worker->state == WORKER_DRAINING;
  gboolean is_due = worker->is_beat_due;

  worker->is_beat_due = FALSE;
  if (worker->is_unregistering)
    worker_unregister (worker);
  else if (is_due && is_up)
    worker_beat (worker);
}

static void
on_beat_sent (GObject *session, GAsyncResult *result, gpointer data)
{
  struct beat *beat = data;
  SoupMessage *msg
      = soup_session_get_async_result_message (SOUP_SESSION (session), result);
  guint status = soup_message_get_status (msg);
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (
      SOUP_SESSION (session), result, NULL);

  if (bytes != NULL && status == 200 && beat->is_drain
      && beat->worker->born_ms == beat->born_ms
      && beat->worker->state == WORKER_DRAINING)
    worker_begin_leaving (beat->worker);
  beat->worker->is_beating = FALSE;
  send_due (beat->worker);
  g_free (beat);
}

static gboolean
on_beat (gpointer data)
{
  struct worker *worker = data;

  worker->beat_timer = 0;
  worker_beat (worker);
  return G_SOURCE_REMOVE;
}

void
worker_beat (struct worker *worker)
{
  struct fleet *fleet = worker->fleet;
  struct beat *beat;
  json_t *entry;

  if (fleet->store_port == 0)
    return;
  g_clear_handle_id (&worker->beat_timer, g_source_remove);
  worker->beat_timer
      = g_timeout_add ((guint)fleet->heartbeat_ms, on_beat, worker);
  if (worker->is_beating)
    {
      worker->is_beat_due = TRUE;
      return;
    }
  worker->is_beating = TRUE;
  beat = g_new (struct beat, 1);
  beat->worker = worker;
  beat->born_ms = worker->born_ms;
  beat->is_drain = worker->state == WORKER_DRAINING;
  entry = make_entry (worker);
  send_entry (worker, json_dumps (entry, JSON_COMPACT),
              fleet->heartbeat_ms * BEATS_TO_EXPIRY, on_beat_sent, beat);
  json_decref (entry);
}

static void
on_unregistered (GObject *session, GAsyncResult *result, gpointer data)
{
  struct worker *worker = data;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (
      SOUP_SESSION (session), result, NULL);

  worker->is_beating = FALSE;
  send_due (worker);
}

void
worker_unregister (struct worker *worker)
{
  worker->is_unregistering = worker->is_beating;
  if (worker->fleet->store_port == 0 || worker->is_beating)
    return;
  worker->is_beating = TRUE;
  send_entry (worker, g_strdup (""), 0, on_unregistered, worker);
}
