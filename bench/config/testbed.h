/*
 * Runs the platform stand-in and entry VMs, publishes changes of the
 * configuration and waits until the VMs have applied them.
 *
 * A change is in force on a VM once the VM logs "document-accepted".
 */
#ifndef BENCH_CONFIG_TESTBED_H
#define BENCH_CONFIG_TESTBED_H

#include "base/histogram.h"
#include "t/support/cut_link.h"
#include "t/support/process.h"

#include <libsoup/soup.h>
#include <stdio.h>

#define TESTBED_MAX_VMS 8
#define TESTBED_MAX_TEAMS 512

/* What a published change contains.  */
enum change_form
{
  CHANGE_PATCH,   /* only the changed value */
  CHANGE_DOCUMENT /* the team's whole document */
};

struct testbed_vm
{
  struct process *process;
  struct cut_link *link; /* from the VM to the platform; counts bytes */
  char *log_path;        /* file with its standard error */
  FILE *log;             /* that file, open for reading */
};

/* A team and its latest change.  */
struct testbed_team
{
  char *name;
  guint n_upstreams;
  guint64 version;          /* of its document */
  gint64 published_unix_us; /* when the change was sent */
  guint n_in_force;         /* VMs on which the change is in force */
  guint weight;             /* the value that changes set */
};

struct testbed
{
  char *directory; /* temporary, for settings and logs */
  struct process *platform;
  SoupSession *session;
  guint n_vms;
  struct testbed_vm vms[TESTBED_MAX_VMS];
  guint n_teams;
  struct testbed_team teams[TESTBED_MAX_TEAMS];
  GHashTable *teams_by_name; /* name -> struct testbed_team, not owned */
  guint n_pending_changes;   /* changes that the platform has not answered */

  /* If not NULL, gets the time from publishing a change until it is in force
     on a VM.  */
  struct histogram *propagation_us;
};

/* Starts the platform and N_VMS entry VMs.  Free with testbed_free (), which
   also ends the processes.  */
struct testbed *testbed_new (guint n_vms);
void testbed_free (struct testbed *testbed);

/* Adds teams until there are N_TEAMS.  Publishes a document with N_UPSTREAMS
   upstreams for each new one and waits until all are in force on all VMs.  */
void testbed_add_teams (struct testbed *testbed, guint n_teams,
                        guint n_upstreams);

/* Publishes changes of the N teams from index FIRST on at once, and waits
   until all of them are in force on all VMs.  */
void testbed_change_teams (struct testbed *testbed, guint first, guint n,
                           enum change_form form);

/* CPU time and resident memory of VM INDEX, and the bytes carried so far, both
   ways, between it and the platform.  */
gint64 testbed_get_cpu_us (struct testbed *testbed, guint index);
gint64 testbed_get_rss_kb (struct testbed *testbed, guint index);
guint64 testbed_get_platform_bytes (struct testbed *testbed, guint index);

/* The length of the JSON text of a document with N_UPSTREAMS upstreams.  */
gsize testbed_get_document_bytes (guint n_upstreams);

#endif
