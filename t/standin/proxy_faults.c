#include "t/standin/proxy_faults.h"

#include "t/standin/listener.h"

#define ALL_PERCENT 100

static void
set_direction (struct direction_faults *faults, const json_t *object)
{
  faults->delay_ms = json_int_member (object, "delay_ms", 0);
  faults->jitter_ms = json_int_member (object, "jitter_ms", 0);
  faults->loss_percent = json_int_member (object, "loss_percent", 0);
  faults->duplicate_percent = json_int_member (object, "duplicate_percent", 0);
  faults->cut_after_bytes
      = json_int_member (object, "cut_after_bytes", NO_BYTE_BOUND);
  faults->close_after_bytes
      = json_int_member (object, "close_after_bytes", NO_BYTE_BOUND);
  faults->silent_after_bytes
      = json_int_member (object, "silent_after_bytes", NO_BYTE_BOUND);
  faults->bytes_per_second = json_int_member (object, "bytes_per_second", 0);
  faults->silent = json_int_member (object, "silent", 0) != 0;
}

void
proxy_faults_set (struct proxy_faults *faults, const json_t *object)
{
  set_direction (&faults->directions[DIRECTION_UP],
                 json_object_get (object, "up"));
  set_direction (&faults->directions[DIRECTION_DOWN],
                 json_object_get (object, "down"));
  faults->connections_percent
      = json_int_member (object, "connections_percent", ALL_PERCENT);
  faults->refuse = json_int_member (object, "refuse", 0) != 0;
}

void
proxy_faults_init (struct proxy_faults *faults)
{
  proxy_faults_set (faults, NULL);
}
