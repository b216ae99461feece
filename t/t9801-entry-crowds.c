/* Crowds of clients that misuse `radishchute entry`.  */
#include "t/support/entry_crowds.h"

int
main (int argc, char **argv)
{
  return entry_crowds_run ("entry", FALSE, argc, argv);
}
