/* A team's quota over several entry VMs, with real processes.  */
#include "t/support/deployment.h"
#include "t/support/http.h"

#define N_VMS 3
#define QUOTA_SLOTS 5
#define N_TASKS 40

static void
restart_with_parts (struct deployment *d)
{
  for (guint i = 0; i < N_VMS; i++)
    {
      json_t *settings = deployment_settings (d, i);

      json_object_set_new (settings, "limits",
                           json_pack ("{s:i, s:i}", "entry_vms", N_VMS,
                                      "entry_number", (int)i));
      deployment_start_entry (d, i, settings);
      json_decref (settings);
    }
}

static void
publish_quota (struct deployment *d)
{
  json_t *document = deployment_document (d);

  json_object_set_new (document, "quota",
                       json_pack ("{s:i}", "slots", QUOTA_SLOTS));
  deployment_publish (d, document);
  json_decref (document);
}

static struct http_call *
submit (struct deployment *d, guint index)
{
  g_autofree char *url = deployment_url (d, index, "/v1/jobs");
  g_autofree char *job = deployment_job (N_TASKS, 20, index * 1000);

  return http_begin ("POST", url, job, NULL);
}

static void
finish (struct http_call *call, guint index)
{
  struct http_answer *answer = http_finish (call);
  json_t *body = http_answer_json (answer);

  g_assert_cmpuint (answer->status, ==, 200);
  deployment_assert_whole (body, N_TASKS, index * 1000);
  json_decref (body);
  http_answer_free (answer);
}

/* All VMs have work for more; together they use just the quota.  */
static void
test_sum_of_parts (void)
{
  struct deployment *d = deployment_start (N_VMS, 1);
  g_autofree char *starts
      = http_url (d->upstreams->ports[0], "%s", "/test/starts");
  struct http_call *calls[N_VMS];
  json_t *record;

  restart_with_parts (d);
  publish_quota (d);
  for (guint i = 0; i < N_VMS; i++)
    calls[i] = submit (d, i);
  for (guint i = 0; i < N_VMS; i++)
    finish (calls[i], i);
  record = http_get_json (starts);
  g_assert_cmpint (json_get_int (record, "max_running"), ==, QUOTA_SLOTS);
  g_assert_cmpuint (deployment_assert_starts (d), ==, N_VMS * N_TASKS);
  json_decref (record);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quota/sum-of-parts", test_sum_of_parts);
  return g_test_run ();
}
