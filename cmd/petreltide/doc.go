// Command petreltide is the whole product in one program: a control node, a gateway, both as the
// users' platform starts them, and the operators' commands. It only reads flags and files and prints; what the
// subcommands do is in internal and platform.
package main
