#include "transport/heartbeat_sections.h"

#include <string.h>

struct leaving_notice
{
  gint64 until_us;
  char *vm;
};

static void
leaving_notice_free (gpointer data)
{
  struct leaving_notice *notice = data;

  g_free (notice->vm);
  g_free (notice);
}

struct heartbeat_sections *
heartbeat_sections_new (const char *vm, const char *availability_zone,
                        const char *address)
{
  struct heartbeat_sections *s = g_new0 (struct heartbeat_sections, 1);

  s->introduction.name = g_strdup (vm);
  s->introduction.availability_zone = g_strdup (availability_zone);
  s->introduction.address = g_strdup (address);
  s->leaving_notices = g_queue_new ();
  return s;
}

void
heartbeat_sections_free (struct heartbeat_sections *s)
{
  g_free (s->introduction.name);
  g_free (s->introduction.availability_zone);
  g_free (s->introduction.address);
  g_queue_free_full (s->leaving_notices, leaving_notice_free);
  g_free (s);
}

gboolean
heartbeat_sections_set_digest (struct heartbeat_sections *s, guint64 versions,
                               guint64 next_offset)
{
  if (s->digest_revision != 0 && s->digest.versions == versions
      && s->digest.next_offset == next_offset)
    return FALSE;
  s->digest.versions = versions;
  s->digest.next_offset = next_offset;
  s->digest_revision++;
  return TRUE;
}

gboolean
heartbeat_sections_set_loads (struct heartbeat_sections *s,
                              const heartbeat_load *loads, guint n_loads)
{
  gsize size = MIN (n_loads, HEARTBEAT_LOADS_MAX) * sizeof *loads;

  if (s->loads_revision != 0 && s->n_loads * sizeof *loads == size
      && (size == 0 || memcmp (s->loads, loads, size) == 0))
    return FALSE;
  s->n_loads = MIN (n_loads, HEARTBEAT_LOADS_MAX);
  if (size > 0)
    memcpy (s->loads, loads, size);
  s->loads_revision++;
  return TRUE;
}

void
heartbeat_sections_add_leaving (struct heartbeat_sections *s, const char *vm,
                                gint64 now_us)
{
  struct leaving_notice *notice = g_new0 (struct leaving_notice, 1);

  notice->vm = g_strdup (vm);
  notice->until_us = now_us + LEAVING_NOTICE_US;
  g_queue_push_tail (s->leaving_notices, notice);
}

/* Whether the digest is due for the peer with PROGRESS, which is updated.  */
static gboolean
is_digest_due (const struct heartbeat_sections *s,
               struct heartbeat_progress *progress, gboolean is_refresh)
{
  if (s->digest_revision == 0)
    return FALSE;
  if (progress->digest_revision != s->digest_revision)
    {
      progress->digest_revision = s->digest_revision;
      progress->digest_repeats = 0;
    }
  if (progress->digest_repeats >= DIGEST_REPEATS)
    return is_refresh;
  progress->digest_repeats++;
  return TRUE;
}

/* Whether the loads are due for the peer with PROGRESS, which is updated.  */
static gboolean
are_loads_due (const struct heartbeat_sections *s,
               struct heartbeat_progress *progress, gboolean is_refresh)
{
  if (s->loads_revision == 0)
    return FALSE;
  if (progress->loads_revision == s->loads_revision
          ? !is_refresh
          : progress->n_heartbeats - progress->loads_sent_at_heartbeat
                < LOADS_INTERVAL_HEARTBEATS)
    return FALSE;
  progress->loads_revision = s->loads_revision;
  progress->loads_sent_at_heartbeat = progress->n_heartbeats;
  return TRUE;
}

static heartbeat_section *
add_section (heartbeat *beat, heartbeat_section_kind kind)
{
  heartbeat_section *section
      = &beat->sections.sections_val[beat->sections.sections_len++];

  memset (section, 0, sizeof *section);
  section->kind = kind;
  return section;
}

/* Adds a section with up to HEARTBEAT_LEAVING_MAX names of leaving VMs from
   the head of the queue.  These move to its tail, so that all names get their
   turn.  Drops expired notices.  */
static void
fill_leaving (struct heartbeat_sections *s, gint64 now_us, heartbeat *beat)
{
  struct leaving_notice *first;
  heartbeat_section *section;
  guint n;

  while ((first = g_queue_peek_head (s->leaving_notices)) != NULL
         && first->until_us <= now_us)
    leaving_notice_free (g_queue_pop_head (s->leaving_notices));
  n = MIN (g_queue_get_length (s->leaving_notices), HEARTBEAT_LEAVING_MAX);
  if (n == 0)
    return;
  section = add_section (beat, HEARTBEAT_LEAVING);
  for (guint i = 0; i < n; i++)
    {
      struct leaving_notice *notice = g_queue_pop_head (s->leaving_notices);

      s->leaving_names[i] = notice->vm;
      g_queue_push_tail (s->leaving_notices, notice);
    }
  section->heartbeat_section_u.leaving.leaving_len = n;
  section->heartbeat_section_u.leaving.leaving_val = s->leaving_names;
}

void
heartbeat_sections_fill (struct heartbeat_sections *s,
                         struct heartbeat_progress *progress,
                         gboolean with_introduction, gboolean with_loads,
                         gint64 now_us, heartbeat *beat)
{
  gboolean is_refresh
      = ++progress->n_heartbeats % REFRESH_INTERVAL_HEARTBEATS == 0;

  beat->sections.sections_val = s->sections;
  beat->sections.sections_len = 0;
  if (with_introduction || is_refresh)
    add_section (beat, HEARTBEAT_INTRODUCTION)
        ->heartbeat_section_u.introduction
        = s->introduction;
  if (is_digest_due (s, progress, is_refresh))
    add_section (beat, HEARTBEAT_DIGEST)->heartbeat_section_u.digest
        = s->digest;
  if (with_loads && are_loads_due (s, progress, is_refresh))
    {
      heartbeat_section *section = add_section (beat, HEARTBEAT_LOADS);

      section->heartbeat_section_u.loads.loads_len = s->n_loads;
      section->heartbeat_section_u.loads.loads_val = s->loads;
    }
  fill_leaving (s, now_us, beat);
}
