#include "transport/config_follower.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "protocol/document_json.h"
#include "protocol/json_read.h"
#include "transport/log_client.h"

struct config_follower
{
  struct log_reader reader;
  struct dispatcher *dispatcher;
  struct log_client *client;
};

static guint64
current_version (struct config_follower *follower, const char *team)
{
  struct document *document
      = dispatcher_find_document (follower->dispatcher, team);

  return document != NULL ? document->version : 0;
}

static void
apply_document (struct config_follower *follower, struct document *document,
                guint64 base, guint64 offset)
{
  guint64 current = current_version (follower, document->team);

  if (base != current)
    {
      event_log (EVENT_DOCUMENT_VOID,
                 "team %s, offset %" G_GUINT64_FORMAT ": based on version "
                 "%" G_GUINT64_FORMAT ", but %" G_GUINT64_FORMAT
                 " is in force; edit that one",
                 document->team, offset, base, current);
      return;
    }
  document->version = offset + 1;
  dispatcher_apply_document (follower->dispatcher, document, clock_now_us ());
  event_log (EVENT_DOCUMENT_ACCEPTED, "team %s, version %" G_GUINT64_FORMAT,
             document->team, document->version);
}

static void
on_record (struct log_reader *reader, guint64 offset, json_t *data)
{
  struct config_follower *follower = (struct config_follower *)(void *)reader;
  g_autofree char *source
      = g_strdup_printf ("offset %" G_GUINT64_FORMAT, offset);
  g_autoptr (GError) error = NULL;
  struct document *document = document_from_json (
      json_object_get (data, "document"), source, &error);
  json_int_t base = json_integer_value (json_object_get (data, "base"));

  if (document == NULL)
    {
      event_log (EVENT_DOCUMENT_INVALID, "%s", error->message);
      return;
    }
  apply_document (follower, document, (guint64)base, offset);
  document_unref (document);
}

static void
on_gap (struct log_reader *reader, guint64 first)
{
}

static void
on_caught_up (struct log_reader *reader, guint64 next)
{
}

static const struct log_reader_ops reader_ops = {
  .record = on_record,
  .gap = on_gap,
  .caught_up = on_caught_up,
};

struct config_follower *
config_follower_new (const struct settings *settings,
                     struct dispatcher *dispatcher)
{
  struct config_follower *follower = g_new0 (struct config_follower, 1);

  follower->reader.ops = &reader_ops;
  follower->dispatcher = dispatcher;
  follower->client
      = log_client_new (settings->log_url, settings->config_stream, 0,
                        g_random_int (), &follower->reader);
  return follower;
}

void
config_follower_free (struct config_follower *follower)
{
  log_client_free (follower->client);
  g_free (follower);
}
