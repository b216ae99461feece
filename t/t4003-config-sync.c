/* When documents are fetched from which peer, and who writes snapshots.  */
#include "coordination/config_sync.h"

struct fake
{
  struct config_sync_driver driver;
  struct config_sync *sync;
  char *fetching; /* the peer asked last, or NULL */
};

static void
fetch (struct config_sync_driver *driver, const char *peer)
{
  struct fake *fake = (struct fake *)(void *)driver;

  g_free (fake->fetching);
  fake->fetching = g_strdup (peer);
}

static const struct config_sync_driver_ops ops = { fetch };

/* What is in force here: versions 1 up to offset 10, with the log.  */
static const struct config_sync_state up_to_date = { { 1, 10 }, TRUE, TRUE };

static void
fake_init (struct fake *fake)
{
  fake->driver.ops = &ops;
  fake->sync = config_sync_new (&fake->driver);
  fake->fetching = NULL;
}

static void
fake_clear (struct fake *fake)
{
  config_sync_free (fake->sync);
  g_free (fake->fetching);
}

static void
hear (struct fake *fake, const char *peer, guint64 versions, guint64 next)
{
  struct config_digest digest = { versions, next };

  config_sync_update_digest (fake->sync, peer, &digest, 0);
}

static void
test_grace_while_log_answers (void)
{
  struct fake f;

  fake_init (&f);
  hear (&f, "b", 2, 11);
  config_sync_advance (f.sync, &up_to_date, 1000);
  config_sync_advance (f.sync, &up_to_date, 999 + CONFIG_SYNC_GRACE_US);
  g_assert_null (f.fetching);
  config_sync_advance (f.sync, &up_to_date, 1000 + CONFIG_SYNC_GRACE_US);
  g_assert_cmpstr (f.fetching, ==, "b");
  fake_clear (&f);
}

/* A difference that ends by itself starts the moment anew.  */
static void
test_grace_starts_anew (void)
{
  struct fake f;

  fake_init (&f);
  hear (&f, "b", 2, 11);
  config_sync_advance (f.sync, &up_to_date, 0);
  hear (&f, "b", 1, 10);
  config_sync_advance (f.sync, &up_to_date, 10);
  hear (&f, "b", 2, 11);
  config_sync_advance (f.sync, &up_to_date, CONFIG_SYNC_GRACE_US);
  g_assert_null (f.fetching);
  fake_clear (&f);
}

static void
test_at_once_without_log (void)
{
  struct config_sync_state state = up_to_date;
  struct fake f;

  fake_init (&f);
  state.is_log_available = FALSE;
  hear (&f, "b", 2, 11);
  hear (&f, "c", 3, 12);
  config_sync_advance (f.sync, &state, 0);
  g_assert_cmpstr (f.fetching, ==, "c");
  fake_clear (&f);
}

static void
test_never_from_one_behind (void)
{
  struct config_sync_state state = up_to_date;
  struct fake f;

  fake_init (&f);
  state.is_log_available = FALSE;
  hear (&f, "b", 2, 9);
  hear (&f, "c", 1, 12);
  config_sync_advance (f.sync, &state, 0);
  g_assert_null (f.fetching);
  fake_clear (&f);
}

/* A new VM takes documents from anyone who has some.  */
static void
test_new_vm (void)
{
  struct config_sync_state state = { { 0, 0 }, FALSE, FALSE };
  struct fake f;

  fake_init (&f);
  hear (&f, "b", 0, 0);
  config_sync_advance (f.sync, &state, 0);
  g_assert_null (f.fetching);
  hear (&f, "c", 5, 0);
  config_sync_advance (f.sync, &state, 0);
  g_assert_cmpstr (f.fetching, ==, "c");
  fake_clear (&f);
}

static void
test_pause_after_nothing (void)
{
  struct config_sync_state state = up_to_date;
  struct fake f;

  fake_init (&f);
  state.is_log_available = FALSE;
  hear (&f, "b", 2, 11);
  config_sync_advance (f.sync, &state, 0);
  config_sync_fetch_ended (f.sync, "b", FALSE, 0);
  g_clear_pointer (&f.fetching, g_free);
  config_sync_advance (f.sync, &state, CONFIG_SYNC_FIRST_RETRY_US - 1);
  g_assert_null (f.fetching);
  hear (&f, "c", 2, 11);
  config_sync_advance (f.sync, &state, CONFIG_SYNC_FIRST_RETRY_US - 1);
  g_assert_cmpstr (f.fetching, ==, "c");
  config_sync_fetch_ended (f.sync, "c", FALSE, CONFIG_SYNC_FIRST_RETRY_US);
  config_sync_advance (f.sync, &state, CONFIG_SYNC_FIRST_RETRY_US);
  g_assert_cmpstr (f.fetching, ==, "b");
  fake_clear (&f);
}

/* Every epoch has exactly one writer, and the duty moves around.  */
static void
test_snapshot_writer (void)
{
  const char *const names[] = { "e-1", "e-2", "e-3", "e-4" };
  guint n_epochs[G_N_ELEMENTS (names)] = { 0 };

  for (guint64 epoch = 0; epoch < 400; epoch++)
    {
      guint n_writers = 0;

      for (guint i = 0; i < G_N_ELEMENTS (names); i++)
        if (config_sync_writes_snapshot (names[i], names, G_N_ELEMENTS (names),
                                         epoch))
          {
            n_writers++;
            n_epochs[i]++;
          }
      g_assert_cmpuint (n_writers, ==, 1);
    }
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    g_assert_cmpuint (n_epochs[i], >, 50);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-sync/grace", test_grace_while_log_answers);
  g_test_add_func ("/config-sync/grace-anew", test_grace_starts_anew);
  g_test_add_func ("/config-sync/without-log", test_at_once_without_log);
  g_test_add_func ("/config-sync/one-behind", test_never_from_one_behind);
  g_test_add_func ("/config-sync/new-vm", test_new_vm);
  g_test_add_func ("/config-sync/pause", test_pause_after_nothing);
  g_test_add_func ("/config-sync/snapshot-writer", test_snapshot_writer);
  return g_test_run ();
}
