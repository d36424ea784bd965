Feature: Control keeps its rule of who votes under all losses that are allowed

  # Guards against two clusters, or none: an instance without a disk forgets at
  # its restart which candidate it has nominated.
  Scenario: One cluster is formed however the instances start
    Then first starts with instances without a disk, kills, and messages that are lost and reordered each form one cluster

  # Guards against a quorum that is lost for good, or an accepted change that is
  # lost, after replacements and losses shortly after each other.
  Scenario: Instances are added, replaced, stopped, cut off and lose their disks in random order
    Then in each random schedule with no more losses than are tolerated, changes are accepted and exactly the instances with a disk vote
