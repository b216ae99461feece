/*
 * The calls of groups: join, leave, commit, owners.
 */
#include "t/standin/store.h"

#include "base/clock.h"

/* The JSON object that CALL carries, with its group and member, or NULL, with
   CALL refused.  */
static json_t *
read_body (struct store_call *call)
{
  gsize length;
  const char *text = g_bytes_get_data (call->body, &length);
  json_t *body = text == NULL ? NULL : json_loadb (text, length, 0, NULL);
  const char *member = json_text_member (body, "member");

  if (member == NULL || json_text_member (body, "group") == NULL)
    store_call_refuse (call, 400, "group or member");
  else if (g_hash_table_contains (call->store->turned_away, member))
    store_call_refuse (call, 503, "turned away");
  else
    return body;
  json_decref (body);
  return NULL;
}

static gboolean
are_topics_valid (json_t *topics)
{
  for (size_t i = 0; i < json_array_size (topics); i++)
    if (!json_is_string (json_array_get (topics, i)))
      return FALSE;
  return json_array_size (topics) > 0;
}

static void
join (struct store_call *call, json_t *body, json_t *topics, gint64 ttl_ms)
{
  struct group *group
      = store_find_group (call->store, json_text_member (body, "group"));
  gint64 lapse_us = clock_now_us () + ttl_ms * USEC_PER_MSEC;
  json_t *answer = json_object ();
  json_t *parts;

  for (size_t i = 0; i < json_array_size (topics); i++)
    {
      const char *name = json_string_value (json_array_get (topics, i));

      group_add_topic (group, name,
                       store_find_topic (call->store, name)->n_parts);
    }
  parts = group_join (
      group, json_text_member (body, "member"),
      (guint64)json_integer_value (json_object_get (body, "generation")),
      lapse_us);
  json_add_int (answer, "generation", (gint64)group->generation);
  json_add_int (answer, "ttlMs", ttl_ms);
  json_object_set_new (answer, "parts", parts);
  store_call_answer_json (call, 200, answer);
}

static void
handle_join (struct store_call *call)
{
  json_t *body = read_body (call);
  json_t *topics = json_object_get (body, "topics");
  gint64 ttl_ms = json_int_member (body, "ttlMs", 0);

  if (body == NULL)
    return;
  if (!are_topics_valid (topics))
    store_call_refuse (call, 400, "topics");
  else if (ttl_ms < call->store->min_ttl_ms)
    store_call_refuse (call, 400, "ttlMs");
  else if (!json_is_integer (json_object_get (body, "generation")))
    store_call_refuse (call, 400, "generation");
  else
    join (call, body, topics, ttl_ms);
  json_decref (body);
}

static void
handle_leave (struct store_call *call)
{
  json_t *body = read_body (call);

  if (body == NULL)
    return;
  group_leave (
      store_find_group (call->store, json_text_member (body, "group")),
      json_text_member (body, "member"));
  json_decref (body);
  store_call_answer_json (call, 200, json_object ());
}

static void
handle_commit (struct store_call *call)
{
  json_t *body = read_body (call);
  const char *topic = json_text_member (body, "topic");
  gint64 part = json_int_member (body, "part", -1);
  gint64 offset = json_int_member (body, "offset", -1);

  if (body == NULL)
    return;
  if (topic == NULL || part < 0 || offset < 0)
    store_call_refuse (call, 400, "topic, part or offset");
  else if (group_commit (store_find_group (call->store,
                                           json_text_member (body, "group")),
                         json_text_member (body, "member"),
                         (guint64)json_int_member (body, "generation", 0),
                         topic, (guint)part, (guint64)offset))
    store_call_answer_json (call, 200, json_object ());
  else
    store_call_refuse (call, 409, "holder");
  json_decref (body);
}

static void
handle_owners (struct store_call *call)
{
  const char *name = store_call_text (call, "group");
  json_t *body;

  if (name == NULL)
    {
      store_call_refuse (call, 400, "group");
      return;
    }
  body = json_object ();
  json_object_set_new (
      body, "parts", group_list_owners (store_find_group (call->store, name)));
  store_call_answer_json (call, 200, body);
}

const struct store_route store_member_routes[] = {
  { "log-join", "POST", TRUE, handle_join },
  { "log-leave", "POST", TRUE, handle_leave },
  { "log-commit", "POST", TRUE, handle_commit },
  { "log-owners", "GET", FALSE, handle_owners },
  { NULL },
};
