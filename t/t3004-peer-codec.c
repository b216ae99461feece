/*
 * What peers send, bent at random: it is refused or read, and never more.
 * Without keys, so that the codecs see all of it.
 */
#include "protocol/heartbeat.h"
#include "protocol/rpc_message.h"
#include "t/support/message.h"

#include <string.h>

#define N_ROUNDS 50000
#define NOW_MS G_GINT64_CONSTANT (1700000000000)

static struct peer_mac *
no_keys (void)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new ();

  return peer_mac_new (keys);
}

static gsize
build_heartbeat (const struct peer_mac *mac, guint8 *data)
{
  char *names[] = { (char *)"minion-1", (char *)"minion-2" };
  heartbeat_load loads[] = { { 1, 2, 3 }, { 4, 5, 6 } };
  heartbeat_section sections[4] = { 0 };
  heartbeat beat = { .header = HEARTBEAT_LINK_CHOSEN_FLAG, .sender = 1 };

  sections[0].kind = HEARTBEAT_INTRODUCTION;
  sections[0].heartbeat_section_u.introduction
      = (heartbeat_introduction){ (char *)"entry-1", (char *)"reykjavik-a",
                                  (char *)"127.0.0.1:9000" };
  sections[1].kind = HEARTBEAT_DIGEST;
  sections[2].kind = HEARTBEAT_LOADS;
  sections[2].heartbeat_section_u.loads.loads_len = 2;
  sections[2].heartbeat_section_u.loads.loads_val = loads;
  sections[3].kind = HEARTBEAT_LEAVING;
  sections[3].heartbeat_section_u.leaving.leaving_len = 2;
  sections[3].heartbeat_section_u.leaving.leaving_val = names;
  beat.sections.sections_len = 4;
  beat.sections.sections_val = sections;
  beat.sent_ms = (guint32)NOW_MS;
  return heartbeat_encode (&beat, mac, data);
}

/* Changes some bytes and, now and then, the length.  */
static gsize
bend (GRand *random, guint8 *data, gsize length)
{
  gint32 n = g_rand_int_range (random, 1, 5);

  for (gint32 i = 0; i < n; i++)
    data[g_rand_int_range (random, 4, (gint32)length)]
        = (guint8)g_rand_int (random);
  if (g_rand_int_range (random, 0, 4) == 0)
    length = (gsize)g_rand_int_range (random, 1, (gint32)length);
  return length;
}

/* The copy ends where the data does, so that the sanitizer sees a read behind
   it.  */
static void
test_heartbeats (void)
{
  struct peer_mac *mac = no_keys ();
  GRand *random = g_rand_new_with_seed (11);
  guint8 good[HEARTBEAT_MAX_LENGTH];
  gsize length = build_heartbeat (mac, good);
  guint n_read = 0;

  g_assert_cmpuint (length, >, 0);
  for (guint i = 0; i < N_ROUNDS; i++)
    {
      guint8 bent[HEARTBEAT_MAX_LENGTH];
      g_autofree guint8 *copy = NULL;
      heartbeat beat;
      gsize n;

      memcpy (bent, good, length);
      n = bend (random, bent, length);
      copy = g_memdup2 (bent, n);
      if (!heartbeat_decode (copy, n, mac, NOW_MS, &beat))
        continue;
      n_read++;
      g_assert_cmpuint (beat.sections.sections_len, <=,
                        HEARTBEAT_SECTIONS_MAX);
      heartbeat_clear (&beat);
    }
  g_assert_cmpuint (n_read, >, 0);
  g_assert_cmpuint (n_read, <, N_ROUNDS);
  g_rand_free (random);
  peer_mac_free (mac);
}

static GBytes *
build_call (const struct peer_mac *mac)
{
  peer_document_version known[]
      = { { (char *)"hjolavinir", 7 }, { (char *)"garpar", 9 } };
  peer_fetch_args arguments = { { 2, known } };
  peer_credential credential
      = { (char *)"entry-1", (char *)"entry-2", 1, 2, (guint64)NOW_MS };

  return rpc_build_call (mac, 5, rpc_procedure_find (PEER_FETCH_DOCUMENTS),
                         &credential, NULL, &arguments);
}

/* A claim of offered tasks, as a record.  */
static GBytes *
build_claim (struct peer_mac *mac)
{
  peer_claim_args arguments = { .incarnation = 7,
                                .job = (char *)"0123456789abcdef",
                                .number = 3,
                                .n_tasks = 8 };
  peer_credential credential
      = { (char *)"entry-1", (char *)"entry-2", 1, 2, (guint64)NOW_MS };

  return rpc_build_call (mac, 5, rpc_procedure_find (PEER_CLAIM_TASKS),
                         &credential, NULL, &arguments);
}

/* A return of tasks, one of which is a suspect, as a record.  */
static GBytes *
build_return (struct peer_mac *mac)
{
  guint indexes[] = { 0, 4, 129 };
  peer_return_args arguments = { .incarnation = 7,
                                 .job = (char *)"0123456789abcdef",
                                 .number = 3,
                                 .has_started = TRUE,
                                 .indexes = { 3, indexes },
                                 .crashed = { 1, indexes + 1 },
                                 .suspects = { 1, indexes + 2 } };
  peer_credential credential
      = { (char *)"entry-1", (char *)"entry-2", 1, 2, (guint64)NOW_MS };

  return rpc_build_call (mac, 5, rpc_procedure_find (PEER_RETURN_TASKS),
                         &credential, NULL, &arguments);
}

/* Calls made from RECORD with some bytes changed or missing are read or
   refused.  */
static void
check_bent_calls (struct peer_mac *mac, GBytes *record)
{
  GRand *random = g_rand_new_with_seed (12);
  gsize length = g_bytes_get_size (record) - RPC_MARK_LENGTH;
  const guint8 *good
      = (const guint8 *)g_bytes_get_data (record, NULL) + RPC_MARK_LENGTH;
  guint ends[3] = { 0 };

  for (guint i = 0; i < N_ROUNDS; i++)
    {
      g_autofree guint8 *bent = g_memdup2 (good, length);
      gsize n = bend (random, bent, length);
      g_autofree guint8 *copy = g_memdup2 (bent, n);
      struct rpc_call call;
      enum rpc_call_status end = rpc_parse_call (mac, copy, n, &call);

      ends[end]++;
      if (end == RPC_CALL_VALID)
        rpc_call_clear (&call);
    }
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    g_assert_cmpuint (ends[i], >, 0);
  g_rand_free (random);
}

static void
test_calls (void)
{
  struct peer_mac *mac = no_keys ();
  g_autoptr (GBytes) record = build_call (mac);
  g_autoptr (GBytes) claim = build_claim (mac);
  g_autoptr (GBytes) returned = build_return (mac);

  check_bent_calls (mac, record);
  check_bent_calls (mac, claim);
  check_bent_calls (mac, returned);
  peer_mac_free (mac);
}

/* The same for the reply RESULT of PROCEDURE.  */
static void
check_bent_replies (const struct rpc_procedure *procedure, const void *result)
{
  struct peer_mac *mac = no_keys ();
  GRand *random = g_rand_new_with_seed (13);
  g_autoptr (GBytes) record = rpc_build_reply (mac, 5, procedure, result);
  gsize length = g_bytes_get_size (record) - RPC_MARK_LENGTH;
  const guint8 *good
      = (const guint8 *)g_bytes_get_data (record, NULL) + RPC_MARK_LENGTH;
  guint n_read = 0;

  for (guint i = 0; i < N_ROUNDS; i++)
    {
      g_autofree guint8 *bent = g_memdup2 (good, length);
      gsize n = bend (random, bent, length);
      g_autofree guint8 *copy = g_memdup2 (bent, n);
      g_autoptr (GError) error = NULL;
      void *read = rpc_parse_reply (mac, copy, n, procedure, &error);

      g_assert_true ((read != NULL) == (error == NULL));
      n_read += read != NULL ? 1 : 0;
      rpc_result_free (procedure, read);
    }
  g_assert_cmpuint (n_read, >, 0);
  g_assert_cmpuint (n_read, <, N_ROUNDS);
  g_rand_free (random);
  peer_mac_free (mac);
}

/* What an owner names as done, as returned, as lost in a crash and as suspects
   reaches the home as four lists.  */
static void
check_batch_result (const peer_batch_result *result)
{
  const struct rpc_procedure *procedure = rpc_procedure_find (PEER_RUN_BATCH);
  struct peer_mac *mac = no_keys ();
  g_autoptr (GBytes) record = rpc_build_reply (mac, 5, procedure, result);
  gsize length = g_bytes_get_size (record) - RPC_MARK_LENGTH;
  g_autofree guint8 *copy = g_memdup2 (
      (const guint8 *)g_bytes_get_data (record, NULL) + RPC_MARK_LENGTH,
      length);
  peer_batch_result *read
      = rpc_parse_reply (mac, copy, length, procedure, NULL);

  g_assert_nonnull (read);
  g_assert_cmpmem (read->done.done_val, read->done.done_len * sizeof (u_int),
                   result->done.done_val,
                   result->done.done_len * sizeof (u_int));
  g_assert_cmpmem (read->returned.returned_val,
                   read->returned.returned_len * sizeof (u_int),
                   result->returned.returned_val,
                   result->returned.returned_len * sizeof (u_int));
  g_assert_cmpmem (read->crashed.crashed_val,
                   read->crashed.crashed_len * sizeof (u_int),
                   result->crashed.crashed_val,
                   result->crashed.crashed_len * sizeof (u_int));
  g_assert_cmpmem (read->suspects.suspects_val,
                   read->suspects.suspects_len * sizeof (u_int),
                   result->suspects.suspects_val,
                   result->suspects.suspects_len * sizeof (u_int));
  rpc_result_free (procedure, read);
  peer_mac_free (mac);
}

static void
test_replies (void)
{
  peer_document document = { .team = (char *)"hjolavinir",
                             .document_version = 7,
                             .base = 6,
                             .edit = (char *)"edit-7",
                             .author = (char *)"ops",
                             .text = { 2, (char *)"{}" } };
  peer_fetch_result result = { .next_offset = 9,
                               .is_complete = TRUE,
                               .documents = { 1, &document } };
  guint granted[] = { 4, 0, 129 };
  peer_claim_result grant = { .granted = { 3, granted },
                              .is_exhausted = TRUE,
                              .spec = (char *)"spec" };
  guint done[] = { 0, 4 };
  guint returned[] = { 129, 7, 1 };
  guint crashed[] = { 1 };
  guint suspects[] = { 7, 129 };
  peer_batch_result batch = { .has_started = TRUE,
                              .reason = (char *)"",
                              .done = { 2, done },
                              .returned = { 3, returned },
                              .crashed = { 1, crashed },
                              .suspects = { 2, suspects } };

  check_batch_result (&batch);
  check_bent_replies (rpc_procedure_find (PEER_RUN_BATCH), &batch);
  check_bent_replies (rpc_procedure_find (PEER_FETCH_DOCUMENTS), &result);
  check_bent_replies (rpc_procedure_find (PEER_CLAIM_TASKS), &grant);
}

/* Calls of the build that serves while VMs are replaced tell of no beacon; a
   call of this build does, and of a later one what more it tells is
   skipped.  */
static void
test_heard (void)
{
  struct peer_mac *mac = no_keys ();
  g_autoptr (GBytes) recorded = message_read ("bcea9bc-call");
  gsize length;
  const guint8 *data = g_bytes_get_data (recorded, &length);
  g_autofree guint8 *copy = g_memdup2 (data, length);
  const peer_credential_heard heard = { 11, 12 };
  peer_ping_args arguments = { .suspect = (char *)"" };
  struct rpc_call call;
  g_autoptr (GBytes) record = NULL;

  g_assert_cmpint (rpc_parse_call (mac, copy, length, &call), ==,
                   RPC_CALL_VALID);
  g_assert_cmpstr (call.credential.sender, ==, "edge-2");
  g_assert_cmpuint (call.heard.sequence, ==, 0);
  record = rpc_build_call (mac, 5, rpc_procedure_find (PEER_PING),
                           &call.credential, &heard, &arguments);
  rpc_call_clear (&call);
  g_free (copy);
  copy = g_memdup2 ((const guint8 *)g_bytes_get_data (record, &length)
                        + RPC_MARK_LENGTH,
                    g_bytes_get_size (record) - RPC_MARK_LENGTH);
  g_assert_cmpint (rpc_parse_call (mac, copy, length - RPC_MARK_LENGTH, &call),
                   ==, RPC_CALL_VALID);
  g_assert_cmpuint (call.heard.incarnation, ==, 11);
  g_assert_cmpuint (call.heard.sequence, ==, 12);
  rpc_call_clear (&call);
  peer_mac_free (mac);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/peer-codec/heartbeats", test_heartbeats);
  g_test_add_func ("/peer-codec/calls", test_calls);
  g_test_add_func ("/peer-codec/replies", test_replies);
  g_test_add_func ("/peer-codec/heard", test_heard);
  return g_test_run ();
}
