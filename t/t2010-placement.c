/* Which upstream a task goes to.  */
#include "coordination/placement.h"
#include "t/support/decision_bed.h"

#include "base/clock.h"

static void
use_placement (struct document *document, const char *name)
{
  struct service *service = bed_service (document);

  g_free (service->placement);
  service->placement = g_strdup (name);
}

static void
test_names (void)
{
  static const char *const names[]
      = { "late-binding", "random", "two-choices", "least-outstanding" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_assert_cmpstr (placement_find (names[i])->name, ==, names[i]);
      g_assert_nonnull (placement_list ()[i]);
    }
  g_assert_null (placement_list ()[G_N_ELEMENTS (names)]);
  g_assert_null (placement_find ("nonsense"));
}

/* Every policy fills all slots and no more, and runs all tasks.  */
static void
test_all_run (gconstpointer data)
{
  const struct placement_ops *placement = data;
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 4, 2);
  struct job *job;

  use_placement (document, placement->name);
  bed_apply (bed, document);
  job = bed_submit (bed, 60);
  g_assert_cmpuint (bed->n_starts, <=, 8);
  for (guint i = 0; i < 60; i++)
    {
      g_assert_cmpuint (bed->started->len, >, 0);
      bed_end_all (bed, 1);
    }
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  g_assert_cmpuint (bed->n_starts, ==, 60);
  bed_free (bed);
}

/* Tasks bound to an upstream that leaves go to another one.  */
static void
test_leaving_unbinds (gconstpointer data)
{
  const struct placement_ops *placement = data;
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 2, 1);
  struct job *job;

  use_placement (document, placement->name);
  bed_apply (bed, document);
  job = bed_submit (bed, 20);
  dispatcher_set_leaving (bed->dispatcher, "u0", TRUE, bed->now_us);
  bed_end_all (bed, 20);
  g_assert_cmpint (job->state, ==, JOB_COMPLETE);
  bed_free (bed);
}

/* The own zone first; others when it is full.  The bed is in zone "a".  */
static void
test_own_zone_first (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 2, 2);

  for (guint i = 0; i < 2; i++)
    {
      struct upstream_spec *spec = bed_upstream_spec (document, i);

      g_free (spec->availability_zone);
      spec->availability_zone = g_strdup (i == 0 ? "b" : "a");
    }
  bed_apply (bed, document);
  bed_submit (bed, 2);
  g_assert_null (bed_find_running (bed, "u0"));
  bed_submit (bed, 2);
  g_assert_nonnull (bed_find_running (bed, "u0"));
  g_assert_cmpuint (bed->n_starts, ==, 4);
  bed_free (bed);
}

static void
test_spreads_over_upstreams (void)
{
  struct bed *bed = bed_new_with (4, 2);

  bed_submit (bed, 4);
  for (guint i = 0; i < 4; i++)
    {
      char name[] = { 'u', (char)('0' + i), '\0' };

      g_assert_nonnull (bed_find_running (bed, name));
    }
  bed_free (bed);
}

/* A task for which there is no room does not block those behind it.  */
static void
test_misfit_does_not_block (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 2, 2);
  struct job *large;
  struct job *small;

  bed_upstream_spec (document, 0)->shape.cpus = 16;
  bed_upstream_spec (document, 1)->shape.cpus = 4;
  bed_apply (bed, document);
  large = bed_make_job (bed, 2);
  large->tasks[0].need.cpus = 10;
  large->tasks[1].need.cpus = 10;
  g_assert_true (
      dispatcher_submit (bed->dispatcher, large, bed->now_us, NULL));
  g_assert_cmpuint (bed->started->len, ==, 1);
  small = bed_submit (bed, 2);
  g_assert_cmpuint (small->n_running, ==, 2);
  bed_end (bed, bed_find_running (bed, "u0"), ATTEMPT_ANSWER_DONE);
  g_assert_cmpuint (large->n_running, ==, 1);
  bed_free (bed);
}

/* Small tasks that come all the time do not keep a large one out.  */
static void
test_large_task_gets_room (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 2, 8);
  gint64 began_us = bed->now_us;
  struct job *large;

  bed_upstream_spec (document, 0)->shape.cpus = 16;
  bed_upstream_spec (document, 1)->shape.cpus = 16;
  bed_apply (bed, document);
  large = bed_make_job (bed, 1);
  large->tasks[0].need.cpus = 16;
  for (guint i = 0; large->n_running == 0; i++)
    {
      struct job *small = bed_make_job (bed, 1);

      small->tasks[0].need.cpus = 2;
      g_assert_true (
          dispatcher_submit (bed->dispatcher, small, bed->now_us, NULL));
      if (i == 40)
        g_assert_true (
            dispatcher_submit (bed->dispatcher, large, bed->now_us, NULL));
      bed_pass (bed, 10 * USEC_PER_MSEC);
      bed_answer_renewals (bed);
      if (bed->started->len > 4)
        bed_end_all (bed, 1);
      g_assert_cmpint (bed->now_us - began_us, <=, 20 * USEC_PER_SEC);
    }
  g_assert_cmpint (bed->now_us - began_us, >=, USEC_PER_SEC);
  bed_free (bed);
}

/* Upstreams with accelerators are kept for tasks that need them.  */
static void
test_accelerators_are_spared (void)
{
  struct bed *bed = bed_new ();
  struct document *document = bed_make_document ("t", 1, 2, 2);

  bed_upstream_spec (document, 0)->shape.accelerators = 1;
  bed_apply (bed, document);
  bed_submit (bed, 2);
  g_assert_null (bed_find_running (bed, "u0"));
  bed_submit (bed, 1);
  g_assert_nonnull (bed_find_running (bed, "u0"));
  bed_free (bed);
}

/* Slots of an upstream that two teams name are counted together.  */
static void
test_shared_host (void)
{
  struct bed *bed = bed_new_with (1, 2);
  struct job *other;

  bed_apply (bed, bed_make_document ("o", 1, 1, 2));
  bed_submit (bed, 2);
  other = job_new ("other", "o", "s", 1);
  g_ptr_array_add (bed->jobs, other);
  g_assert_true (
      dispatcher_submit (bed->dispatcher, other, bed->now_us, NULL));
  g_assert_cmpuint (other->n_running, ==, 0);
  bed_end_all (bed, 1);
  g_assert_cmpuint (other->n_running, ==, 1);
  bed_free (bed);
}

/* An upstream that a new document drops keeps its tasks and their leases, and
   its slots are given back.  */
static void
test_dropped_upstream (void)
{
  struct bed *bed = bed_new_with (1, 1);
  struct job *job;
  struct task *task;

  job = bed_submit (bed, 2);
  task = g_ptr_array_index (bed->started, 0);
  bed_apply (bed, bed_make_document ("t", 2, 0, 1));
  g_assert_cmpint (job->state, ==, JOB_FAILED);
  bed_pass (bed, BED_LEASE_MS * USEC_PER_MSEC / 2);
  g_assert_cmpuint (bed->renewed->len, >, 0);
  bed_apply (bed, bed_make_document ("t", 3, 1, 1));
  job = bed_submit (bed, 1);
  g_assert_cmpuint (job->n_running, ==, 0);
  bed_end (bed, task, ATTEMPT_ANSWER_DONE);
  g_assert_cmpuint (job->n_running, ==, 1);
  bed_free (bed);
}

static void
test_slot_share (void)
{
  struct bed *bed = bed_new_with (1, 8);

  dispatcher_set_vm_count (bed->dispatcher, 8, 0, bed->now_us);
  dispatcher_set_slot_share (bed->dispatcher, "t/s", "u0", 2,
                             bed->now_us + USEC_PER_SEC, bed->now_us);
  bed_submit (bed, 20);
  g_assert_cmpuint (bed->started->len, ==, 2);
  bed_pass (bed, 2 * USEC_PER_SEC);
  bed_end_all (bed, 1);
  g_assert_cmpuint (bed->started->len, ==, 1);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/placement/names", test_names);
  for (guint i = 0; placement_list ()[i] != NULL; i++)
    {
      const struct placement_ops *placement = placement_list ()[i];
      g_autofree char *all
          = g_strconcat ("/placement/all-run/", placement->name, NULL);
      g_autofree char *leaving
          = g_strconcat ("/placement/leaving/", placement->name, NULL);

      g_test_add_data_func (all, placement, test_all_run);
      g_test_add_data_func (leaving, placement, test_leaving_unbinds);
    }
  g_test_add_func ("/placement/own-zone-first", test_own_zone_first);
  g_test_add_func ("/placement/spreads", test_spreads_over_upstreams);
  g_test_add_func ("/placement/misfit", test_misfit_does_not_block);
  g_test_add_func ("/placement/large-task", test_large_task_gets_room);
  g_test_add_func ("/placement/accelerators", test_accelerators_are_spared);
  g_test_add_func ("/placement/shared-host", test_shared_host);
  g_test_add_func ("/placement/dropped-upstream", test_dropped_upstream);
  g_test_add_func ("/placement/slot-share", test_slot_share);
  return g_test_run ();
}
