#include "t/standin/faults.h"

#include "t/standin/listener.h"

#define DRAW_RANGE 100

void
faults_init (struct faults *faults)
{
  *faults = (struct faults){ .slow_factor = 1.0 };
}

static void
update_percent (gint64 *percent, json_t *object, const char *name)
{
  *percent = json_int_member (object, name, *percent);
}

void
faults_update (struct faults *faults, json_t *object)
{
  update_percent (&faults->fail_percent, object, "fail_percent");
  update_percent (&faults->refuse_percent, object, "refuse_percent");
  update_percent (&faults->hang_percent, object, "hang_percent");
  update_percent (&faults->close_before_read_percent, object,
                  "close_before_read_percent");
  update_percent (&faults->close_after_read_percent, object,
                  "close_after_read_percent");
  update_percent (&faults->answer_junk_percent, object, "answer_junk_percent");
  update_percent (&faults->omit_outcome_percent, object,
                  "omit_outcome_percent");
  if (json_is_number (json_object_get (object, "slow_factor")))
    faults->slow_factor
        = json_number_value (json_object_get (object, "slow_factor"));
}

gboolean
faults_draw (GRand *random, gint64 percent)
{
  if (percent <= 0)
    return FALSE;
  return g_rand_int_range (random, 0, DRAW_RANGE) < percent;
}

static gboolean
strikes (GRand *random, gint64 percent, json_t *input, const char *name)
{
  return faults_draw (random, percent)
         || json_int_member (input, name, 0) != 0;
}

void
faults_draw_task (const struct faults *faults, GRand *random, json_t *input,
                  struct task_faults *task)
{
  task->refuse = strikes (random, faults->refuse_percent, input, "refuse");
  task->fail = strikes (random, faults->fail_percent, input, "fail");
  task->hang = strikes (random, faults->hang_percent, input, "hang");
  task->close_after_read = strikes (random, faults->close_after_read_percent,
                                    input, "close_after_read");
  task->junk
      = strikes (random, faults->answer_junk_percent, input, "answer_junk");
  task->omit_outcome
      = strikes (random, faults->omit_outcome_percent, input, "omit_outcome");
}
