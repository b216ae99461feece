/*
 * Outages of the platform's log.
 *
 * The documents in force stay so and jobs are served meanwhile; afterwards
 * changes come into force, and the checker holds that none ever reverts.
 */
#include "t/support/fault_bed.h"

static void
record_versions (struct fault_bed *bed)
{
  for (guint i = 0; i < bed->deployment->n_entries; i++)
    fault_bed_record_version (bed, i);
}

/* The document in force with another weight.  The caller owns it.  */
static json_t *
changed_document (struct fault_bed *bed, int weight)
{
  g_autofree char *url = http_url (bed->deployment->platform->ports[0],
                                   "/test/streams/radishchute-config");
  json_t *dump = http_get_json (url);
  json_t *records = json_get (dump, "records");
  json_t *last = json_array_get (records, json_array_size (records) - 1);
  json_t *document
      = json_deep_copy (json_get (json_get (last, "data"), "document"));

  json_object_set_new (document, "weight", json_integer (weight));
  json_decref (dump);
  return document;
}

static void
run_outage (const char *mode)
{
  struct fault_bed *bed = fault_bed_start (2, 2);
  json_t *document = changed_document (bed, 3);

  record_versions (bed);
  fault_bed_set_outage (bed, mode);
  for (guint i = 0; i < 6; i++)
    g_assert_cmpuint (fault_bed_run (bed, i % 2, 8, 5), ==, 200);
  record_versions (bed);
  fault_bed_set_outage (bed, "none");
  deployment_publish (bed->deployment, document);
  record_versions (bed);
  g_assert_cmpuint (fault_bed_run (bed, 1, 8, 5), ==, 200);
  json_decref (document);
  fault_bed_stop (bed);
}

static void
test_silent (void)
{
  run_outage ("silent");
}

static void
test_refusing (void)
{
  run_outage ("refuse");
}

/* Appends DOCUMENT on BASE; returns the HTTP status.  */
static guint
append (struct fault_bed *bed, json_t *document, const char *edit, int base)
{
  g_autofree char *url = http_url (bed->deployment->platform->ports[0],
                                   "/v1/streams/radishchute-config/records");
  json_t *record
      = json_pack ("{s:s, s:s, s:s, s:i, s:s, s:O}", "kind", "document",
                   "edit", edit, "team", DEPLOYMENT_TEAM, "base", base,
                   "author", "tests", "document", document);
  char *text = json_dumps (record, JSON_COMPACT);
  struct http_answer *answer = http_request ("POST", url, text, NULL);
  guint status = answer->status;

  http_answer_free (answer);
  free (text);
  json_decref (record);
  return status;
}

/*
 * The answer to an append is lost after it took effect; the operator's second
 * try on the same base is void, so the change is in force once.
 */
static void
test_lost_answer (void)
{
  struct fault_bed *bed = fault_bed_start (2, 1);
  json_t *first = changed_document (bed, 5);
  json_t *second = changed_document (bed, 7);
  int base = (int)bed->deployment->version;

  fault_bed_set_outage (bed, "lose-answers");
  g_assert_cmpuint (append (bed, first, "edit-lost", base), ==, 0);
  fault_bed_set_outage (bed, "none");
  g_assert_cmpuint (append (bed, second, "edit-again", base), ==, 200);
  bed->deployment->version = (guint64)base + 1;
  deployment_wait_in_force (bed->deployment);
  record_versions (bed);
  deployment_publish (bed->deployment, second);
  record_versions (bed);
  json_decref (first);
  json_decref (second);
  fault_bed_stop (bed);
}

/* Operators race: of changes on one base, every VM takes the first.  */
static void
test_race (void)
{
  struct fault_bed *bed = fault_bed_start (3, 1);

  for (int round = 0; round < 5; round++)
    {
      json_t *document = changed_document (bed, round + 2);
      int base = (int)bed->deployment->version;

      g_assert_cmpuint (append (bed, document, "edit-a", base), ==, 200);
      g_assert_cmpuint (append (bed, document, "edit-b", base), ==, 200);
      bed->deployment->version = (guint64)base + 1;
      deployment_wait_in_force (bed->deployment);
      record_versions (bed);
      /* Makes the offsets of the race known to the next round.  */
      deployment_publish (bed->deployment, document);
      record_versions (bed);
      json_decref (document);
    }
  fault_bed_stop (bed);
}

/*
 * The connection on which an entry VM follows the log goes silent for good
 * while new ones work; later changes come into force all the same.
 */
static void
test_connection_silent (void)
{
  struct deployment *d = deployment_start (1, 1);
  g_autofree char *to
      = g_strdup_printf ("127.0.0.1:%u", d->platform->ports[0]);
  struct process *proxy = process_start_standin ("proxy", "--to", to, NULL);
  g_autofree char *log_url = http_url (proxy->ports[0], "%s", "");
  g_autofree char *faults = http_url (proxy->ports[1], "/test/faults");
  json_t *settings = deployment_settings (d, 0);
  json_t *document = deployment_document (d);

  json_object_set_new (settings, "log_url", json_string (log_url));
  deployment_start_entry (d, 0, settings);
  deployment_wait_in_force (d);
  http_post (faults, "{\"silence_existing\":true}");
  json_object_set_new (document, "weight", json_integer (2));
  deployment_publish (d, document);
  json_decref (document);
  json_decref (settings);
  process_free (proxy);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_set_nonfatal_assertions ();
  g_test_add_func ("/platform-faults/silent", test_silent);
  g_test_add_func ("/platform-faults/refusing", test_refusing);
  g_test_add_func ("/platform-faults/lost-answer", test_lost_answer);
  g_test_add_func ("/platform-faults/race", test_race);
  g_test_add_func ("/platform-faults/connection-silent",
                   test_connection_silent);
  return g_test_run ();
}
