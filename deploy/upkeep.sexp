; Operators' settings with the operators' port and budgets of disruption switched on:
; python3 run.py --config settings.toml --operator deploy/upkeep.sexp
; What is not named here is as in operator.sexp.
(dunehold
  (operator-port 8082)        ; beside peer_bind; 0: no orders are taken
  (disruption                 ; what may be stopped or moved by choice at one time
    (default
      (tasks "10%")           ; of a team's tasks on machines; a number counts tasks
      (cpus "10%")            ; of all CPUs that it has on machines
      (replicas 1)            ; of each service
      (least-up "50%")        ; of each service's replicas stay up
      (window-s 60))          ; a disruption counts so long at least, and until the task runs
    ; (team "NAME" (cpus 40) (tasks 8))
    (bind-all 0)))            ; 1: moves and preemption of the scheduler keep to them as well
