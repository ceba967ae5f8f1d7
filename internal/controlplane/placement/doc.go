// Package placement decides which replica should hold which model. It runs policies written in Starlark and the
// built-in policy that treats the replicas' memory as a cache (Resident), and checks each proposal against the
// replicated state before the proposal becomes a command. Package controller calls it; the command line calls it to
// compile a policy. The package itself sends no commands, and a policy's program can access nothing but its argument.
package placement
