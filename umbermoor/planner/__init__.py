"""The capacity planner: what breaks first, how many machines hold the goal, what losing a group
does. docs/planner.md."""
