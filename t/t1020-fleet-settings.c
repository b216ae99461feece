/* The settings of an entry VM in a fleet, and the template that makes them. */
#include "base/error.h"
#include "protocol/fleet_settings.h"
#include "protocol/json_read.h"

#include <string.h>

#define REQUIRED                                                              \
  "\"vm\":\"entry-1\",\"availability_zone\":\"a\",\"ip\":\"10.1.0.13\","      \
  "\"availability_zones\":[\"a\",\"b\"],\"callers\":\"10.1.0.13:80\","        \
  "\"readiness\":\"10.1.0.13:81\",\"peers\":\"10.1.0.13:82\","                \
  "\"beacon_port\":83,\"store\":\"10.200.1.7:90\""

/* What stands in the template, and what the platform puts there.  */
static const struct
{
  const char *placeholder;
  const char *value;
} values[] = {
  { "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", "\"vm-a\",\"vm-b\",\"vm-c\"" },
  { "{{node|json}}", "\"edge-1\"" },
  { "{{zone|json}}", "\"vm-b\"" },
  { "{{ip|json}}", "\"10.1.0.13\"" },
  { "{{ip}}", "10.1.0.13" },
  { "{{listen.front|json}}", "\"10.1.0.13:8161\"" },
  { "{{listen.ready|json}}", "\"10.1.0.13:8167\"" },
  { "{{portRange.0}}", "7720" },
  { "{{portRange.1}}", "7735" },
  { "{{platform.addr|json}}", "\"10.200.1.7:8169\"" },
  { "{{platform.parts}}", "16" },
  { "{{platform.ttlMinMs}}", "1000.0" },
  { "{{bounds.holdMaxMs}}", "1000.5" },
  { "{{bounds.graceS}}", "5.5" },
  { "{{#bounds.retransmitMs}}  \"caller_retry_ms\": "
    "{{.}},\n{{/bounds.retransmitMs}}",
    "  \"caller_retry_ms\": 1250.0,\n" },
  { "{{#bounds.farFactor}}  \"far_factor\": {{.}},\n{{/bounds.farFactor}}",
    "  \"far_factor\": 1.5,\n" },
  { "{{#limits.cpuShare}}  \"cpu_share\": {{.}},\n{{/limits.cpuShare}}",
    "  \"cpu_share\": 0.25,\n" },
  { "{{#limits.cores}}  \"cpu_cores\": {{.}},\n{{/limits.cores}}",
    "  \"cpu_cores\": 2,\n" },
  { "{{#limits.memoryMb}}  \"memory_mb\": {{.}},\n{{/limits.memoryMb}}",
    "  \"memory_mb\": 260,\n" },
  { "{{#limits.maxFds}}  \"max_descriptors\": {{.}},\n{{/limits.maxFds}}",
    "  \"max_descriptors\": 4100,\n" },
};

static char *
fill_template (void)
{
  g_autoptr (GString) text = NULL;
  g_autofree char *template = NULL;
  g_autoptr (GError) error = NULL;

  g_file_get_contents ("deploy/fleet.json.in", &template, NULL, &error);
  g_assert_no_error (error);
  text = g_string_new (template);
  for (gsize i = 0; i < G_N_ELEMENTS (values); i++)
    g_assert_cmpuint (
        g_string_replace (text, values[i].placeholder, values[i].value, 0), >,
        0);
  g_assert_null (strstr (text->str, "{{"));
  return g_string_free (g_steal_pointer (&text), FALSE);
}

static struct fleet_settings *
parse (const char *text)
{
  g_autoptr (GError) error = NULL;
  struct fleet_settings *settings
      = fleet_settings_parse (text, strlen (text), "test.json", &error);

  g_assert_no_error (error);
  return settings;
}

static void
assert_endpoint (const struct endpoint *endpoint, const char *ip, guint port)
{
  g_assert_cmpstr (endpoint->ip, ==, ip);
  g_assert_cmpuint (endpoint->port, ==, port);
}

static void
test_template (void)
{
  g_autofree char *text = fill_template ();
  struct fleet_settings *s = parse (text);

  g_assert_cmpstr (s->vm, ==, "edge-1");
  g_assert_cmpstr (s->availability_zone, ==, "vm-b");
  g_assert_cmpstr (s->ip, ==, "10.1.0.13");
  g_assert_cmpstr (s->store, ==, "10.200.1.7:8169");
  g_assert_cmpuint (s->availability_zones->len, ==, 4);
  g_assert_cmpstr (s->availability_zones->pdata[2], ==, "vm-c");
  g_assert_null (s->availability_zones->pdata[3]);
  assert_endpoint (&s->callers, "10.1.0.13", 8161);
  assert_endpoint (&s->readiness, "10.1.0.13", 8167);
  assert_endpoint (&s->peers, "10.1.0.13", 7720);
  g_assert_cmpuint (s->beacon_port, ==, 7735);
  g_assert_cmpuint (s->n_shards, ==, 16);
  g_assert_cmpuint (s->max_lease_ms, ==, 1000);
  g_assert_cmpuint (s->caller_retry_ms, ==, 1250);
  g_assert_cmpfloat (s->cpu_share, ==, 0.25);
  g_assert_cmpfloat (s->cpu_cores, ==, 2);
  g_assert_cmpint (s->log_level, ==, LOG_LEVEL_INFO);
  g_assert_true (s->share_by_caller);
  g_assert_true (s->spread_retries);
  g_assert_cmpuint (s->max_waiting_jobs, ==, 1000);
  g_assert_cmpuint (s->max_waiting_kb, ==, 8192);
  g_assert_cmpuint (s->memory_mb, ==, 260);
  g_assert_cmpuint (s->max_descriptors, ==, 4100);
  g_assert_true (s->placement_by_speed);
  fleet_settings_free (s);
  s = parse ("{" REQUIRED "}");
  g_assert_false (s->placement_by_speed);
  fleet_settings_free (s);
}

/* The platform writes whole numbers as fractions too.  */
static void
test_fractions (void)
{
  g_autofree char *text = fill_template ();
  struct fleet_settings *s = parse (text);

  g_assert_cmpuint (s->member_ttl_ms, ==, 1000);
  g_assert_cmpuint (s->max_lease_ms, ==, 1000);
  g_assert_cmpuint (s->grace_ms, ==, 5500);
  g_assert_cmpfloat (s->far_factor, ==, 1.5);
  fleet_settings_free (s);
}

static void
test_defaults (void)
{
  struct fleet_settings *s = parse ("{" REQUIRED "}");

  g_assert_cmpuint (s->n_shards, ==, 16);
  g_assert_cmpuint (s->lease_ms, ==, 900);
  g_assert_cmpuint (s->max_lease_ms, ==, 1000);
  g_assert_cmpuint (s->caller_retry_ms, ==, 1300);
  g_assert_cmpuint (s->max_connections, ==, 3000);
  g_assert_cmpuint (s->memory_mb, ==, 0);
  g_assert_cmpuint (s->max_descriptors, ==, 0);
  g_assert_false (s->share_by_caller);
  g_assert_false (s->spread_retries);
  g_assert_cmpuint (s->max_waiting_jobs, ==, 0);
  assert_endpoint (&s->metrics, NULL, 0);
  g_assert_false (s->share_by_capacity);
  g_assert_cmpfloat (s->cpu_share, ==, 0);
  fleet_settings_free (s);
  s = parse ("{" REQUIRED ",\"share_by_capacity\":true}");
  g_assert_true (s->share_by_capacity);
  fleet_settings_free (s);
  s = parse ("{" REQUIRED ",\"metrics\":\"\"}");
  assert_endpoint (&s->metrics, NULL, 0);
  fleet_settings_free (s);
  s = parse ("{" REQUIRED ",\"metrics\":\"10.1.0.13:9464\"}");
  assert_endpoint (&s->metrics, "10.1.0.13", 9464);
  fleet_settings_free (s);
  s = parse ("{" REQUIRED ",\"metrics\":\"[fd00::13]:9464\"}");
  assert_endpoint (&s->metrics, "fd00::13", 9464);
  fleet_settings_free (s);
}

/* The lease that is not given follows the longest that upstreams grant.  */
static void
test_short_leases (void)
{
  struct fleet_settings *s = parse ("{" REQUIRED ",\"max_lease_ms\":500}");

  g_assert_cmpuint (s->lease_ms, <, 500);
  g_assert_cmpuint (s->lease_ms, >=, 400);
  fleet_settings_free (s);
  s = parse ("{" REQUIRED ",\"max_lease_ms\":2000}");
  g_assert_cmpuint (s->lease_ms, ==, 900);
  fleet_settings_free (s);
}

static void
assert_problem (const char *text, const char *problem)
{
  g_autoptr (GError) error = NULL;

  g_assert_null (
      fleet_settings_parse (text, strlen (text), "test.json", &error));
  g_assert_error (error, RADISHCHUTE_ERROR, ERROR_INVALID);
  g_assert_true (g_str_has_prefix (error->message, "test.json: "));
  if (strstr (error->message, problem) == NULL)
    g_error ("'%s' is not in: %s", problem, error->message);
}

/* TEXT with member KEY left out.  */
static char *
leave_out (const char *text, const char *key)
{
  json_t *root = json_loads (text, 0, NULL);
  char *rest;

  g_assert_cmpint (json_object_del (root, key), ==, 0);
  rest = json_dumps (root, 0);
  json_decref (root);
  return rest;
}

static void
test_missing (void)
{
  static const char *const required[]
      = { "vm",      "availability_zone", "ip",    "availability_zones",
          "callers", "readiness",         "peers", "beacon_port",
          "store" };

  for (gsize i = 0; i < G_N_ELEMENTS (required); i++)
    {
      g_autofree char *text = leave_out ("{" REQUIRED "}", required[i]);
      g_autofree char *problem
          = g_strdup_printf ("'%s' is missing; add it", required[i]);

      assert_problem (text, problem);
    }
  assert_problem ("[]", "'vm' is missing; add it");
}

static void
test_each_problem (void)
{
  assert_problem ("{", "line 1");
  assert_problem ("{" REQUIRED ",\"vm\":\"b\"}", "duplicate");
  assert_problem ("{" REQUIRED ",\"vmm\":1}",
                  "unknown member 'vmm'; remove it");
  assert_problem ("{" REQUIRED ",\"memory_mb\":15}",
                  "'memory_mb' must be a number from 16");
  assert_problem ("{" REQUIRED ",\"max_descriptors\":63}",
                  "'max_descriptors' must be a number from 64");
  assert_problem ("{\"vm\":7}", "'vm' must be a string");
  assert_problem ("{\"vm\":\"\"}", "must not be empty");
  assert_problem ("{\"vm\":\"entry@1\"}", "must not contain a '@'");
  assert_problem ("{\"availability_zones\":\"a\"}", "must be an array");
  assert_problem ("{\"availability_zones\":[1]}", "must contain only names");
  assert_problem ("{\"callers\":\"10.1.0.13\"}", "must be IP:PORT, as in");
  assert_problem ("{\"callers\":\"\"}", "must be IP:PORT, as in");
  assert_problem ("{\"peers\":\":80\"}", "must be IP:PORT, as in");
  assert_problem ("{\"peers\":\"10.1.0.13:65536\"}", "must be IP:PORT, as in");
  assert_problem ("{\"peers\":\"localhost:80\"}", "must be IP:PORT, as in");
  assert_problem ("{\"peers\":\"[10.1.0.13:80\"}", "must be IP:PORT, as in");
  assert_problem ("{" REQUIRED ",\"shards\":65}",
                  "'shards' must be a number from 1 to 64");
  assert_problem ("{" REQUIRED ",\"shards\":\"16\"}", "must be a number");
  assert_problem ("{" REQUIRED ",\"grace_s\":0}", "must be a number from");
  assert_problem ("{" REQUIRED ",\"far_factor\":0.5}",
                  "must be a number from");
  assert_problem ("{" REQUIRED ",\"cpu_share\":-1}", "must be a number from");
  assert_problem ("{" REQUIRED ",\"share_by_capacity\":1}",
                  "'share_by_capacity' must be");
  assert_problem ("{" REQUIRED ",\"caller_retry_ms\":999}",
                  "must be a number from");
  assert_problem ("{" REQUIRED ",\"lease_ms\":true}", "must be a number from");
  assert_problem ("{" REQUIRED ",\"log_level\":\"loud\"}", "must be one of");
  assert_problem ("{" REQUIRED ",\"share_by_caller\":1}", "'share_by_caller'");
  assert_problem ("{" REQUIRED ",\"spread_retries\":1}", "'spread_retries'");
  assert_problem ("{" REQUIRED ",\"lease_ms\":700,\"max_lease_ms\":600}",
                  "must not exceed max_lease_ms");
}

/* Members that were known once.  */
static void
test_former (void)
{
  static const char *const former[] = { "stop_ms", "resend_ms", "grace_ms" };

  for (gsize i = 0; i < G_N_ELEMENTS (former); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("{" REQUIRED ",\"%s\":1}", former[i]);
      g_autofree char *problem
          = g_strdup_printf ("unknown member '%s'; remove it", former[i]);

      assert_problem (text, problem);
    }
}

/* A name must fit into a beacon.  */
static void
test_long_names (void)
{
  static const char *const keys[] = { "vm", "availability_zone", "ip" };
  g_autofree char *name = g_strnfill (64, 'n');

  for (gsize i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("{\"%s\":\"%s\"}", keys[i], name);
      g_autofree char *problem
          = g_strdup_printf ("%s: must have at most 63 bytes", keys[i]);

      assert_problem (text, problem);
    }
}

/* All problems are told in one go, a line each.  */
static void
test_several_problems (void)
{
  static const char text[]
      = "{" REQUIRED ",\"shards\":0,\"grace_s\":\"6\",\"surplus\":1}";
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) lines = NULL;

  g_assert_null (
      fleet_settings_parse (text, strlen (text), "test.json", &error));
  lines = g_strsplit (error->message, "\n", -1);
  g_assert_cmpuint (g_strv_length (lines), ==, 3);
}

static void
test_no_file (void)
{
  g_autoptr (GError) error = NULL;

  g_assert_null (fleet_settings_load ("no-such-file", &error));
  g_assert_error (error, RADISHCHUTE_ERROR, ERROR_INVALID);
  g_assert_nonnull (strstr (error->message, "no-such-file"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-settings/template", test_template);
  g_test_add_func ("/fleet-settings/fractions", test_fractions);
  g_test_add_func ("/fleet-settings/defaults", test_defaults);
  g_test_add_func ("/fleet-settings/short-leases", test_short_leases);
  g_test_add_func ("/fleet-settings/missing", test_missing);
  g_test_add_func ("/fleet-settings/each-problem", test_each_problem);
  g_test_add_func ("/fleet-settings/former", test_former);
  g_test_add_func ("/fleet-settings/long-names", test_long_names);
  g_test_add_func ("/fleet-settings/several-problems", test_several_problems);
  g_test_add_func ("/fleet-settings/no-file", test_no_file);
  return g_test_run ();
}
