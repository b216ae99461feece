/*
 * A platform and entry VMs for measurements of the configuration.
 */
#ifndef BENCH_CONFIG_CELL_H
#define BENCH_CONFIG_CELL_H

#include "base/histogram.h"
#include "t/support/cut_link.h"
#include "t/support/process.h"

#include <libsoup/soup.h>
#include <stdio.h>

#define CELL_MAX_VMS 8
#define CELL_MAX_TEAMS 512

/* How a change is published.  */
enum change_form
{
  CHANGE_PATCH,
  CHANGE_WHOLE
};

struct cell_vm
{
  struct process *process;
  struct cut_link *link; /* to the log, counts bytes */
  char *log_path;        /* its standard error */
  FILE *log;             /* the same, being read */
};

/* A team and its change under way.  */
struct cell_team
{
  char *name;
  guint n_upstreams;
  guint64 version;
  gint64 sent_unix_us;
  guint n_in_force; /* VMs that have it */
  guint weight;
};

struct cell
{
  char *directory;
  struct process *platform;
  SoupSession *session;
  guint n_vms;
  struct cell_vm vms[CELL_MAX_VMS];
  guint n_teams;
  struct cell_team teams[CELL_MAX_TEAMS];
  GHashTable *by_name;
  guint n_answers_due;
  struct histogram *in_force_us; /* from publishing to in force, or NULL */
};

struct cell *cell_new (guint n_vms);
void cell_free (struct cell *cell);

/* Publishes documents of N_UPSTREAMS upstreams for teams up to N_TEAMS, and
   waits until they are in force everywhere.  */
void cell_add_teams (struct cell *cell, guint n_teams, guint n_upstreams);

/* Changes N teams from FIRST on at once, and waits until all the changes are
   in force on all VMs.  */
void cell_change (struct cell *cell, guint first, guint n,
                  enum change_form form);

/* Figures of VM INDEX.  */
gint64 cell_get_cpu_us (struct cell *cell, guint index);
gint64 cell_get_rss_kb (struct cell *cell, guint index);
guint64 cell_get_log_bytes (struct cell *cell, guint index);

/* The length of the document's JSON text.  */
gsize cell_document_bytes (guint n_upstreams);

#endif
