/*
 * The sub-commands of the stand-in program.
 *
 * Each takes its own argument vector, whose first element is the name of the
 * sub-command, and returns the exit status of the process.
 */
#ifndef T_STANDIN_STANDIN_H
#define T_STANDIN_STANDIN_H

int standin_platform (int argc, char **argv);
int standin_upstream (int argc, char **argv);
int standin_proxy (int argc, char **argv);
int standin_store (int argc, char **argv);
int standin_worker (int argc, char **argv);

#endif
