/*
 * Each kind of crowd at each address of a server: whether the process lives,
 * stays within the memory and the descriptors of its machine, and answers an
 * ordinary request at each of its addresses while the crowd is there.
 */
#ifndef T_SUPPORT_CROWD_MATRIX_H
#define T_SUPPORT_CROWD_MATRIX_H

#include "t/support/crowd.h"

#define CROWD_MAX_TARGETS 8

struct crowd_host_ops;

/* The first member of a server under test.  */
struct crowd_host
{
  const struct crowd_host_ops *ops;
  const char *name;    /* in names of tests */
  gsize machine_bytes; /* memory of its machine */
  gsize body_bytes;    /* the largest legal body */
  guint n_clients;     /* of a crowd with large requests */
  guint n_targets;
  struct crowd_target targets[CROWD_MAX_TARGETS];
  guint16 ports[CROWD_MAX_TARGETS + 1]; /* ended by 0 */
  guint max_descriptors;                /* of the process that runs; 0: none */
};

struct crowd_host_ops
{
  /* Starts the process on a machine with MAX_BYTES of memory and
     MAX_DESCRIPTORS, and sets the addresses of the targets and the ports.  */
  void (*start) (struct crowd_host *host, guint max_descriptors,
                 gsize max_bytes);
  void (*stop) (struct crowd_host *host);
  pid_t (*get_pid) (struct crowd_host *host);
};

/* Runs the tests of HOST, whose targets have names, and stops it.  A failing
   test does not keep the others from running.  */
int crowd_matrix_run (struct crowd_host *host, int argc, char **argv);

#endif
